#!/usr/bin/env bash
# Builds the programs of the cases 6 to 8, with the stand-ins that they contain, into
# target/review-2/. Needs the compiler only; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
compiler=${CXX:-c++}
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
"$compiler" "${flags[@]}" -c review/harness-2/harness.cc -o target/review-2/harness.o
for source in review/{6,7,8}/case.cc; do
  name=$(basename "$(dirname "$source")")
  "$compiler" "${flags[@]}" "$source" target/review-2/harness.o -o "target/review-2/case-$name"
done
