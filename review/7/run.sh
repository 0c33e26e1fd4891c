#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Writes record.txt in this folder. TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -B review/7/case.py
