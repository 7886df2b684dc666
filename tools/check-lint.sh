#!/usr/bin/env bash
# Runs clang-tidy on the given sources, or on all of them. Usage: check-lint.sh BUILD [FILE...]
set -euo pipefail
build=$1
shift
if [ $# -eq 0 ]; then
    mapfile -t files < <(git ls-files 'src/*.cpp' 'bench/*.cpp' 'test/*.cpp')
else
    files=("$@")
fi
if [ ${#files[@]} -gt 0 ]; then
    printf "%s\0" "${files[@]}" | xargs -0 -n 2 -P "$(nproc)" clang-tidy -p "$build" --quiet
fi
