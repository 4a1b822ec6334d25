#!/bin/sh
# Builds the stand-ins of the review's cases: they are Python programs of the standard library, so this only
# compiles them. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review
