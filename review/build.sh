#!/bin/sh
# Builds the stand-ins of the cases. They are Python files without dependencies, so that this compiles them.
# The program itself is built by the command `build` of deploy/balancer.toml, before this.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "review/build.sh: .venv is missing; run the build of the deploy file first" >&2; exit 2; }
.venv/bin/python -m compileall -q review
