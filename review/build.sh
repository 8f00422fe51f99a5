#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are Python programs of this folder
# without any dependency, so there is nothing to compile; this checks them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]*/*.py <<'EOF'
import ast
import pathlib
import sys
for path in sys.argv[1:]:
    if "*" not in path:
        ast.parse(pathlib.Path(path).read_text(encoding="utf-8"), path)
EOF
