#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
# With TROUBLE=0 the case does the same without its disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$here/.." exec python3 "$here/run.py"
