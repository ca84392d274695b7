#!/usr/bin/env bash
# Builds the stand-ins and checkers of the cases into review/bin. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-9]/case.cpp; do
    [ -f "$source" ] || continue
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I harness -o "bin/case-$(dirname "$source")" "$source"
done
