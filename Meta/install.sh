#!/usr/bin/env bash
# Installs the libraries and tools that the build needs (Debian 12).
set -euo pipefail
packages=(
  build-essential cmake ninja-build ccache clang-format clang-tidy python3
  libboost1.81-dev libboost-json1.81-dev libcapnp-dev libabsl-dev
  doctest-dev libvalijson-dev librapidcheck-dev
  libxxhash-dev libssl-dev zlib1g-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -q
"${sudo[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y -q --no-install-recommends "${missing[@]}"
