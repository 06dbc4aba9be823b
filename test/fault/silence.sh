#!/bin/bash
# Servers that send nothing for 1 to 1.5 s and go on: no request that has run
# may end without a server's answer before its deadline.
set -u
bin=${1:-build/rel}
t=$(mktemp -d "${TMPDIR:-/tmp}/silence.XXXXXX")
trap 'rm -rf "$t"' EXIT
code=0
for seed in 1 2 3; do
	mkdir "$t/$seed"
	"$bin/soak" --seed "$seed" --seconds 6 --pauses --dir "$t/$seed" \
		--daemon "$bin/chestnuthinged" >"$t/$seed/out" 2>&1 || code=1
	cat "$t/$seed/out"
	if grep -A 20 'Sanitizer:\|runtime error:' "$t/$seed"/*.log; then
		echo "FAILED: seed $seed, a sanitizer's report"
		code=1
	fi
done
exit $code
