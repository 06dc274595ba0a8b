#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs of the standard library alone: nothing has to be compiled, so
# this checks that the interpreter is there and reads them all.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import glob, sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed, found " + sys.version)
for path in sorted(glob.glob("lib/*.py") + glob.glob("[0-9]/*.py")):
    compile(open(path).read(), path, "exec")
    print("ready:", path)
'
