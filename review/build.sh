#!/bin/sh
# Builds the stand-ins of the cases: they are Python sources, run with the project's own .venv.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
