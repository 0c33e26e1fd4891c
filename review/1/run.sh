#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption, and must pass (0).
# Writes to record.txt in this folder what was sent, answered and run.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
: > record.txt || exit 2
exec python3 case.py
