#!/bin/sh
# Builds the stand-ins of the second review (review/rig2 and the scripts of cases 6 to 10): Python files that
# need nothing beyond the environment which the build of the deploy file has made.
set -eu
cd "$(dirname "$0")/.."
for folder in rig2 6 7 8 9 10; do
    test ! -d "review/$folder" || .venv/bin/python -m compileall -q "review/$folder"
done
