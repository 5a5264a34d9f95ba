#!/usr/bin/env bash
# The stand-ins are Python 3 scripts that use the standard library only, so nothing has to
# be compiled: this checks that they can be read here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standin/fleet.py [1-5]/case.py <<'P'
import sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sys.argv[1:]:
    with open(path) as f:
        compile(f.read(), path, "exec")
print("checked", *sys.argv[1:])
P
