#!/usr/bin/env bash
# Builds the stand-ins and cases under review/ into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review/case-$number"
done
