#!/usr/bin/env bash
# Runs measurements on real processes on loopback and prints one JSON line per
# case: Meta/measure.sh spread|calls|all [--nodes N,N,...] [--case NAME,...]
set -euo pipefail
cd "$(dirname "$0")/.."
{
  Meta/install.sh
  cmake --preset release
  cmake --build --preset release -j "${JOBS:-$(nproc)}" --target radishcross stand-ins
} >&2
exec python3 Meta/measure.py "$@"
