#!/bin/sh
# See claim.txt. TROUBLE=0 leaves the disruption out. Exit status: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
