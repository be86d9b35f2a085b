#!/bin/sh
# Builds the stand-ins of cases 11 to 15. They use only Python's own library,
# so compiling them is all.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standins_3.py 11 12 13 14 15
