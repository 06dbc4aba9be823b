#!/bin/bash
# A short run of the soak for each of a few fixed seeds, and for each seed that
# ever failed (test/soak/seeds), with so many edges and callers whose requests
# end servers. No promise may be broken.
# Usage: soak.sh [BUILD [LIST [OPTION...]]]; options go to the soak.
set -u
bin=${1:-build/rel}
list=$(dirname "$0")/../soak/${2:-seeds}
shift $(($# < 2 ? $# : 2))
t=$(mktemp -d "${TMPDIR:-/tmp}/soak.XXXXXX")
trap 'rm -rf "$t"' EXIT
code=0
while read -r seed seconds edges poison why; do
	case $seed in '' | '#'*) continue ;; esac
	mkdir -p "$t/$seed"
	if ! "$bin/soak" --seed "$seed" --seconds "$seconds" --edges "$edges" \
		--poison "$poison" --dir "$t/$seed" \
		--daemon "$bin/chestnuthinged" "$@" >"$t/$seed/out" 2>&1; then
		cat "$t/$seed/out"
		grep -h 'level=error\|^chestnuthinged:' "$t/$seed"/*.log | tail -n 10
		echo "FAILED: seed $seed ($why)"
		code=1
	fi
	if grep -A 20 'Sanitizer:\|runtime error:' "$t/$seed"/*.log; then
		echo "FAILED: seed $seed, a sanitizer's report"
		code=1
	fi
	tail -n 1 "$t/$seed/out"
done <"$list"
exit $code
