#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need. Does nothing when all are present.
set -euo pipefail
packages=(g++ cmake ninja-build make pkg-config clang-format clang-tidy
    libsigc++-3.0-dev libevent-dev libnghttp2-dev prometheus-cpp-dev libabsl-dev libboost-dev libboost-log-dev
    nlohmann-json3-dev libhttp-parser-dev libtomlplusplus-dev zlib1g-dev libxxhash-dev libssl-dev doctest-dev librapidcheck-dev libbenchmark-dev curl)
if dpkg-query -W -f '${Status}\n' "${packages[@]}" 2>/dev/null | grep -vq 'ok installed' \
    || ! dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
    apt-get update
    apt-get install -y --no-install-recommends "${packages[@]}"
fi
