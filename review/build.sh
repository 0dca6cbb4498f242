#!/usr/bin/env bash
# Builds the stand-ins of the cases, into review/bin. Run it from any folder, after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for n in 1 2 3; do
  [ -f "$n/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$n/case.cpp" -o "bin/case$n"
done
