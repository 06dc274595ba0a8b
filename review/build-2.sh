#!/bin/bash
# Builds what the scripts of review/4 and later start beside the programs of the deploy file: the stand-ins are Python
# programs without dependencies, so this only checks that they can run. No network is needed.
set -eu
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 (3.8 or later) is needed" >&2; exit 1; }
python3 - lib-2/standin.py [4-9]/case.py <<'CHECK'
import sys
assert sys.version_info >= (3, 8), "python3 3.8 or later is needed"
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
CHECK
echo "the stand-ins of lib-2 can run"
