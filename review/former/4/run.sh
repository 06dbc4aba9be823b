#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
command -v python3 > /dev/null || exit 2
exec python3 -B "$(dirname "$0")/play.py"
