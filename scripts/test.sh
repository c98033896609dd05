#!/usr/bin/env bash
# Installs what is missing, builds, checks format and lint, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
scripts/lint.sh
ctest --test-dir build --output-on-failure
[ ! -e KNOWN-RED.txt ] || cat KNOWN-RED.txt
