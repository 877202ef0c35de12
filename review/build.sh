#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are written in Python's standard library, so
# there is nothing to compile; this checks that the interpreter runs them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]*/*.py <<'PY'
import sys
assert sys.version_info >= (3, 9), sys.version
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
PY
