#!/bin/sh
# Builds the stand-ins of cases 6 to 10.  They need only the Python of the deploy file's build and its standard
# library, so that this checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 1
if [ ! -x .venv/bin/python ]; then
    echo "the deploy file's build has to run first" >&2
    exit 1
fi
exec .venv/bin/python -B -c 'import sys; sys.path.insert(0, "review/lab2"); import lab'
