#!/bin/sh
# Build the stand-ins of cases 6 to 10: they need Python 3.11 or later and no library.
cd "$(dirname "$0")" && exec python3 -m compileall -q lib-2 6 7 8 9
