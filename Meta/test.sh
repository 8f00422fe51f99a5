#!/usr/bin/env bash
# Installs the dependencies, builds one preset (default: release) and runs all of
# its tests: Meta/test.sh [release|debug|sanitize]
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
Meta/install.sh
Meta/configure.sh "$preset"
cmake --build --preset "$preset" -j "${JOBS:-$(nproc)}"
Meta/run-tests.sh "$preset"
