#!/usr/bin/env bash
# Installs the dependencies, builds, and runs a mesh of three data centres on
# loopback. It stays up until Ctrl-C; with --once it publishes a second version
# under load, drains a node, prints one JSON line and ends.
# RADISHCROSS_BUILD names a folder of built programs to use instead.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -n "${RADISHCROSS_BUILD:-}" ] && exec python3 Meta/demo.py "$@"
{
  Meta/install.sh
  cmake --preset release
  cmake --build --preset release -j "${JOBS:-$(nproc)}" --target radishcross stand-ins
} >&2
exec python3 Meta/demo.py "$@"
