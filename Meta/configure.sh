#!/usr/bin/env bash
# Configures one preset for the project's own checks, in which a warning is an
# error: Meta/configure.sh PRESET [CMAKE-OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
exec cmake --preset "$1" -DCMAKE_COMPILE_WARNING_AS_ERROR=ON "${@:2}" >/dev/null
