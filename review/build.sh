#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They are Python modules of this repository,
# and need only the packages in target/deps, so they are just compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q review hibiscusstack_standins
PYTHONPATH=target/deps:.:review/lab python3 -c "import lab"
