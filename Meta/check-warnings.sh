#!/usr/bin/env bash
# Checks that a warning ends the project's own checks, and that it does not end
# the build of deploy/system.toml, whose compiler may have other warnings. Prints
# how the compiler is configured locally, as that may exempt a warning.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
echo '#warning "of another compiler"' >"$dir/Warning.h"
flags=(-DCMAKE_CXX_FLAGS="-include $dir/Warning.h" -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON)

# The first embedded text is the quickest source to compile.
build_one_object() {
  ninja -C "$1" "$(ninja -C "$1" -t targets all | sed -n 's/^\(.*Embedded.*\.o\): .*/\1/p' | head -n 1)"
}

# The configuring half of a command of the form "cmake ... && cmake --build ...".
deploy=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
eval "${deploy%%&&*} -B '$dir/deploy' ${flags[*]@Q}" >/dev/null
if ! build_one_object "$dir/deploy" >"$dir/deploy.log" 2>&1; then
  cat "$dir/deploy.log" >&2
  echo "warnings: the build of deploy/system.toml ends at a warning" >&2
  exit 1
fi
grep -q 'warning: #warning' "$dir/deploy.log"

Meta/configure.sh release -B "$dir/checked" "${flags[@]}"
if build_one_object "$dir/checked" >"$dir/checked.log" 2>&1; then
  echo "warnings: the project's own checks pass over a warning" >&2
  exit 1
fi
grep -q 'Werror=cpp' "$dir/checked.log"
specs=$(c++ -v 2>&1 | sed -n 's/^Reading specs from //p')
if [ -n "$specs" ]; then
  echo "warnings: this machine's compiler has local settings, which other machines may not have:"
  diff <(c++ -dumpspecs) "$specs" | sed -n 's/^> /  /p' || true
fi
echo "warnings: errors in the project's checks, not in the build of deploy/system.toml"
