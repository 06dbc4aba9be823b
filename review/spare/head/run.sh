#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0: without the disruption.
exec python3 -B "$(dirname "$0")/play.py"
