#!/usr/bin/env bash
# Fails when the decision core depends on an adapter library, a thread, a file, a clock, the environment or an unseeded
# random source.
set -euo pipefail
core="base contract configuration membership placement health limits idempotency routing fleet core"
status=0
for folder in $core; do
    if grep -nE '#include <(event|evhttp|nghttp2|openssl|boost/log|prometheus|thread|mutex|fstream|sys/|unistd|absl/flags)' \
        src/"$folder"/* 2>/dev/null; then
        echo "src/$folder includes an adapter library, a thread or a file" >&2
        status=1
    fi
    if grep -nE '(steady_clock|system_clock|high_resolution_clock|random_device|getenv)' src/"$folder"/* 2>/dev/null; then
        echo "src/$folder reads a clock, the environment or an unseeded random source" >&2
        status=1
    fi
done
exit $status
