#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, beside the program of
# the deploy file. Their stand-ins are Python, of the standard library only.
set -e
cd "$(dirname "$0")"
python3 - support-2/*.py [0-9]*/case.py <<'PY'
import sys

for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
print("checked", len(sys.argv) - 1, "files")
PY
