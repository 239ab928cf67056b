#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 10 can be started with what the build of
# the deploy file installs; they need nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:.:review/lab2"
python3 -c "import network, small_site"
