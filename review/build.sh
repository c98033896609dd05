#!/usr/bin/env bash
# Builds the stand-ins of the review cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in cases/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o "build/$(basename "$source" .cc)" "$source" harness/*.cc
done
