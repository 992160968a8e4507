#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: they are Python modules that use the
# libraries in target/deps, so this checks that all of them can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo 'run the build of the deploy file first' >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD" python3 -c '
import review.case_3
import review.memory_watch_3
import review.plain_server_3
import standin.platform.store
'
