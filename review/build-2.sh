#!/usr/bin/env bash
# Builds the programs of the cases of review/REPORT-2.md into target/review-2/, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
    name=$(basename "$source" .cpp)
    if [ "$name" != lab2 ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standins-2/lab2.cpp "$source" -o "target/review-2/$name"
    fi
done
