#!/usr/bin/env bash
# Installs the libraries and tools that the build needs (Debian 12).
set -euo pipefail
cd "$(dirname "$0")/.."
. Meta/packages.sh
install_packages "${tools[@]}" "${libraries[@]}"
