#!/bin/bash
# The operators' tool against a platform that loses answers, has outages and
# forgets: check, plan, confirm, status, watch, drain, burn, and exit codes.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
fleet_init "${1:-build/rel}"
TOOL=$BIN/chestnuthinge

# expect CODE TEXT COMMAND...: exit code, and a part of what it prints.
expect() {
	local want=$1 text=$2 got out
	shift 2
	out=$("$@" 2>&1)
	got=$?
	[ "$got" = "$want" ] || fail "$*: exit code $got, not $want: $out"
	grep -qF -- "$text" <<<"$out" || fail "$*: no \"$text\" in: $out"
}

tool() {
	local command=$1
	shift
	"$TOOL" "$command" -c "$T/tool.ini" "$@"
}

fault() {
	curl -s -d "$1" "http://127.0.0.1:${PORT[platform]}/_control" >"$T/curl"
}

# intent GAP: writes $T/GAP.ini.
intent() {
	printf '[service helper]\nkind = model\ntoken_gap_ms = %s\n' "$1" \
		>"$T/$1.ini"
}

KEEP_RECORDS=6
start_platform
cat >"$T/tool.ini" <<-END
	[platform]
	address = 127.0.0.1:${PORT[platform]}
	namespace = prod
END
intent 70
intent 71
intent 72

# Usage.
expect 2 "usage" "$TOOL"
expect 0 "confirm" "$TOOL" --help
expect 0 "chestnuthinge 0" "$TOOL" --version
expect 2 "no command" "$TOOL" nothing
expect 2 "expected INTENT" "$TOOL" plan -c "$T/tool.ini"
expect 2 "--platform" "$TOOL" plan "$T/70.ini"
expect 2 "IP:PORT" "$TOOL" plan --platform host --namespace a "$T/70.ini"
expect 2 "unknown section" "$TOOL" status -c "$T/70.ini" --entry x

# Checks.
expect 0 "good intent" "$TOOL" check "$T/70.ini"
echo 'gap = 1' >>"$T/70.ini"
expect 1 "70.ini:4: [service helper] gap: unknown key" "$TOOL" check "$T/70.ini"
expect 1 "gap: unknown key" tool plan "$T/70.ini"
intent 70

# Nothing is stored by a plan; the first confirm on a base wins.
tool plan "$T/70.ini" >"$T/70.plan" || fail "plan 70"
expect 0 "revision offset=0" tool status
tool plan "$T/71.ini" >"$T/71.plan" || fail "plan 71"
expect 0 "accepted offset=1" tool confirm "$T/70.plan"
expect 3 "another plan was first: offset=1" tool confirm "$T/71.plan"
expect 0 "accepted offset=1" tool confirm "$T/70.plan"
expect 0 "revision offset=1" tool status
sed -i 's/= 71/= 99/' "$T/71.plan"
expect 1 "not the one that was planned" tool confirm "$T/71.plan"

# Two operators at once: one wins, the other is told so.
tool plan "$T/71.ini" >"$T/71.plan" || fail "plan 71"
tool plan "$T/72.ini" >"$T/72.plan" || fail "plan 72"
tool confirm "$T/71.plan" >"$T/a.out" 2>&1 &
a=$!
tool confirm "$T/72.plan" >"$T/b.out" 2>&1
b=$?
wait "$a"
a=$?
[ $((a + b)) = 3 ] || fail "race: exit codes $a and $b"

# An answer that is lost after the append took effect.
tool plan "$T/70.ini" >"$T/70.plan" || fail "plan 70"
fault lose_answer=1
expect 0 "accepted offset=5" tool confirm "$T/70.plan"

# Drain, and watch from the start.
expect 0 "drain offset=6" tool drain side-1
expect 0 "drain offset=6 host=side-1" tool watch --for 1
expect 0 "accepted offset=5" tool watch --for 1

# An outage.
fault outage=1
expect 4 "did not answer" tool plan "$T/71.ini"
expect 4 "did not answer" tool drain side-1
fault outage=0

# The log forgets what was accepted, and no process has carried it.
for i in 1 2 3 4 5 6; do
	tool drain "side-$i" >"$T/drain.out" || fail "drain $i"
done
expect 1 "forgotten" tool plan "$T/71.ini"
expect 0 "certain=no" tool status
tool plan --force "$T/71.ini" >"$T/71.plan" || fail "plan --force"
tool plan --force "$T/72.ini" >"$T/72.plan" || fail "plan --force"
expect 0 "accepted offset=13" tool confirm "$T/71.plan"
expect 3 "another plan was first: offset=13" tool confirm "$T/72.plan"

# Burn: 3 good requests, 1 that failed, and 1 that was the caller's doing.
write_intent
start_plain store
start_sidecar side-store stock plain v1 store
set_hosts "$HOSTS"
start_entry entry-1
for i in 1 2 3 4; do
	[ "$i" != 4 ] || control store fail=1
	ask_plain entry-1 school-1 GET /stock/check >"$T/ask-$i"
done
ask_plain entry-1 nobody GET /stock/check >"$T/ask-5"
at=127.0.0.1:${PORT[entry-1]}
expect 0 "entry $at" tool status --entry "$at"
expect 0 "stock,0,0,0,0.000,4,3,5.000" \
	"$TOOL" burn --entry "$at" --short 1 --csv
expect 0 "5.00" "$TOOL" burn --entry "$at" --short 1 --history "$T/history"
expect 0 "stock,0,0,0,0.000,0,0,0.000" "$TOOL" burn --csv --short 1 \
	--entry "$at" --history "$T/history"
expect 2 "expected --entry" "$TOOL" burn
expect 1 "entry 127.0.0.1:1" "$TOOL" burn --entry 127.0.0.1:1

echo "operators: all as expected"
