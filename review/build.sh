#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/, with the compiler and the C++ library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = lab ] && continue
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/$name" "$source" review/standins/lab.cpp
done
