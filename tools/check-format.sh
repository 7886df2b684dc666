#!/usr/bin/env bash
# Fails when a source file is not formatted according to .clang-format.
set -euo pipefail
git ls-files -z '*.h' '*.cpp' | xargs -0 -r clang-format --dry-run --Werror
