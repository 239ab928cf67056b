#!/usr/bin/env bash
# Prepares what the scripts of review/11 to review/15 start beside the hosts: the
# estate of review/lab3, which is built from the project's own stand-ins. It uses only
# what the build of the deploy file has put into target/deps, so nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
  echo "target/deps is missing: run the build of deploy/system.toml first" >&2
  exit 1
fi
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -m review.lab3.estate --help >/dev/null
python3 -c "import review.lab3.site"
for number in 11 12 13 14 15; do
  if [ -f "review/$number/case.py" ]; then
    python3 -c "import importlib; importlib.import_module('review.$number.case')"
  fi
done
