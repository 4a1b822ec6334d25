#!/bin/sh
# Builds the stand-ins of the second review (review/rig2_*.py and the scripts of cases 6 to 10): Python files that
# need nothing beyond the environment which the build of the deploy file has made.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig2_*.py
for number in 6 7 8 9 10; do
    .venv/bin/python -m compileall -q "review/$number"
done
