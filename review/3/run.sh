#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review .venv/bin/python review/3/case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;; # any other code, as of an exception, is no verdict
    *) exit 2 ;;
esac
