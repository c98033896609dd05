#!/usr/bin/env bash
# Installs the Debian packages that the build needs. Does nothing when all are installed.
set -euo pipefail
packages=(
  build-essential cmake ninja-build clang-format clang-tidy pkg-config curl jq
  libwebsockets-dev libjsonrpccpp-dev prometheus-cpp-dev libpopt-dev libboost-log1.81-dev libboost1.81-dev libjsoncpp-dev
  libcpputest-dev libopentracing-dev libxxhash-dev libzstd-dev nlohmann-json3-dev libssl-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
