#!/bin/bash
# A short run of the soak for each of a few fixed seeds, and for each seed that
# ever failed (test/soak/seeds), with so many edges and callers whose requests
# end servers. No promise may be broken. Two run at a time.
# Usage: soak.sh [BUILD [LIST [OPTION...]]]; options go to the soak.
set -u
bin=${1:-build/rel}
list=$(dirname "$0")/../soak/${2:-seeds}
shift $(($# < 2 ? $# : 2))
t=$(mktemp -d "${TMPDIR:-/tmp}/soak.XXXXXX")
trap 'rm -rf "$t"' EXIT

# play DIR SEED SECONDS EDGES POISON WHY OPTION...: output and verdict in DIR.
play() {
	local dir=$1 seed=$2 seconds=$3 edges=$4 poison=$5 why=$6
	shift 6
	mkdir -p "$dir"
	if ! "$bin/soak" --seed "$seed" --seconds "$seconds" --edges "$edges" \
		--poison "$poison" --dir "$dir" \
		--daemon "$bin/chestnuthinged" "$@" >"$dir/out" 2>&1; then
		echo "FAILED: seed $seed ($why)" >"$dir/failed"
	fi
	if grep -A 20 'Sanitizer:\|runtime error:' "$dir"/*.log \
		>"$dir/sanitizer"; then
		echo "FAILED: seed $seed, a sanitizer's report" >>"$dir/failed"
	fi
}

n=0
while read -r seed seconds edges poison why; do
	case $seed in '' | '#'*) continue ;; esac
	[ $((n % 2)) = 0 ] && wait
	play "$t/$n" "$seed" "$seconds" "$edges" "$poison" "$why" "$@" &
	n=$((n + 1))
done <"$list"
wait

code=0
for ((i = 0; i < n; i++)); do
	if [ -e "$t/$i/failed" ]; then
		cat "$t/$i/out" "$t/$i/sanitizer"
		grep -h 'level=error\|^chestnuthinged:' "$t/$i"/*.log |
			tail -n 10
		cat "$t/$i/failed"
		code=1
	fi
	tail -n 1 "$t/$i/out"
done
exit $code
