#!/usr/bin/env bash
# Writes record.txt beside this script: what was sent, answered and run. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it
# without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
