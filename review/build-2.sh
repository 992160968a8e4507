#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 need no build: checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path().glob('6/standins2/*.py')):
    compile(path.read_text('utf-8'), str(path), 'exec')
for path in sorted(pathlib.Path().glob('*/case.py')):
    compile(path.read_text('utf-8'), str(path), 'exec')
CHECK
