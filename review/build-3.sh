#!/usr/bin/env bash
# Checks every stand-in that a script of the third review starts. They are plain Python
# files without dependencies, so nothing has to be built but their byte code is checked.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib, sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
for path in [pathlib.Path("lib-3/standins.py"), *sorted(pathlib.Path().glob("1[1-5]/case.py"))]:
    compile(path.read_text(), str(path), "exec")
    print("checked", path)
P
