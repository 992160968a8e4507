#!/usr/bin/env bash
# Checks that everything that the scripts start is there: the stand-ins in
# review/1/stand_ins are plain Python and use the standard library only, and the daemons
# run on the libraries that the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || {
    echo 'run the build of deploy/system.toml first' >&2
    exit 1
}
python3 - review <<'PYTHON'
import ast, pathlib, sys
for path in sorted(pathlib.Path(sys.argv[1]).rglob('*.py')):
    ast.parse(path.read_text(), str(path))
PYTHON
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -m pollenwalk gateway --help > /dev/null
