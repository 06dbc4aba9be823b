#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../../.." || exit 2
[ -x build/rel/review-2 ] && [ -x target/chestnuthinged ] || exit 2
t=$(mktemp -d "${TMPDIR:-/tmp}/review-2.XXXXXX") || exit 2
build/rel/review-2 judges "$t" "$here/record.txt" &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
code=$?
rm -rf "$t"
[ "$code" -le 2 ] || code=2
exit "$code"
