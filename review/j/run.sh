#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/rel/review-2 ] && [ -x target/chestnuthinged ] || exit 2
t=$(mktemp -d "${TMPDIR:-/tmp}/review-j.XXXXXX") || exit 2
build/rel/review-2 judges "$t" "$PWD/review/j/record.txt" &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
code=$?
rm -rf "$t"
[ "$code" -le 2 ] || code=2
exit "$code"
