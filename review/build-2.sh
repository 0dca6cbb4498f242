#!/bin/sh
# Builds the cases of the second review (6 to 10) with all their stand-ins, into build-review-2/. Needs g++
# alone.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/build-review-2"
for number in 6 7 8 9 10; do
  source=$root/review/$number/case.cpp
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$root/build-review-2/case-$number" "$source"
done
