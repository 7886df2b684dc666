#!/usr/bin/env bash
# Fails when a source file outside src/platform names a header, call, topic, field or variable of the users' platform.
set -euo pipefail
names='X-Jackdawdoor-|keyed\.|/v1/(log|resolve|readiness)|JACKDAWDOOR_CONFIG|path-prefix|traffic-split|route-type|slo-latency|warmup-left|internal-ports|seq-no|ttl-s|tenants|api-keys|rate-per-s'
if git ls-files 'src/*.h' 'src/*.cpp' | grep -v '^src/platform/' | xargs grep -nE "$names"; then
    echo "names of the platform outside src/platform" >&2
    exit 1
fi
