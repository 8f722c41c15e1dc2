#!/usr/bin/env bash
# Builds the programs of the scripts, under target/review. The router itself is built by the line `build` of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread review/kit/kit.cpp "$source" -o "target/review/case-$number"
done
