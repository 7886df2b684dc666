#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review (review/11 to review/15) into target/review-3. Needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-3/case$number" "$source"
done
