#!/bin/bash
# Two operators confirm at once, on the same base, over and over; the log then
# answers from an older view, and has an outage while an entry is replaced: the
# revision in force only moves forward, and is the same everywhere.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
fleet_init "${1:-build/rel}"
RACES=4
tool() {
	"$BIN/chestnuthinge" "$1" --platform "127.0.0.1:${PORT[platform]}" \
		--namespace test "${@:2}"
}

# watch_offsets NAME...: notes the offset in force at each, until stopped.
watch_offsets() {
	local name n
	while sleep "$POLL_S"; do
		for name in "$@"; do
			n=$(http_ok "${PORT[$name]}" /v1/revision |
				sed 's/.*"offset":\([0-9]*\).*/\1/')
			[ -z "$n" ] || note offset "process=$name value=$n"
		done
	done
}

# intent GAP OPERATOR: writes an intent that differs by its target.
intent() {
	sed "s/^token_gap_ms = .*/token_gap_ms = $1/" "$T/intent.ini" \
		>"$T/$2.ini"
}

fleet_std 1
watch_offsets entry-1 entry-2 &
PID[poll]=$!
for ((i = 1; i <= RACES; i++)); do
	intent $((400 + i)) ana
	intent $((500 + i)) bor
	tool plan "$T/ana.ini" >"$T/ana.plan" || fail "plan of ana"
	tool plan "$T/bor.ini" >"$T/bor.plan" || fail "plan of bor"
	tool confirm "$T/ana.plan" >"$T/ana.out" 2>&1 &
	other=$!
	tool confirm "$T/bor.plan" >"$T/bor.out" 2>&1
	bor=$?
	wait "$other"
	ana=$?
	case $ana-$bor in
	0-3) won=ana ;;
	3-0) won=bor ;;
	*) fail "race $i: exit codes $ana and $bor: $(cat "$T"/???.out)" ;;
	esac
	offset=$(sed -n 's/.*accepted offset=\([0-9]*\).*/\1/p' "$T/$won.out")
	wait_for "revision $offset everywhere" \
		revision_is "$offset" entry-1 entry-2 side-1 side-store
done

control platform serve_old=3
sleep 1 # a few periods of reading the log
wait_for "still $offset" revision_is "$offset" entry-1 entry-2
crash entry-2
start_entry entry-3
wait_for "$offset at the new entry" revision_is "$offset" entry-3
control platform outage=1
start_entry entry-4
wait_for "$offset at an entry new in the outage" revision_is "$offset" entry-4
control platform 'outage=0&serve_old=0'
intent 600 ana
tool plan "$T/ana.ini" >"$T/ana.plan" || fail "plan after the outage"
tool confirm "$T/ana.plan" >"$T/ana.out" || fail "confirm after the outage"
offset=$(sed -n 's/.*accepted offset=\([0-9]*\).*/\1/p' "$T/ana.out")
wait_for "revision $offset everywhere" \
	revision_is "$offset" entry-1 entry-3 entry-4 side-1 side-store
kill "${PID[poll]}"
wait "${PID[poll]}" 2>/dev/null
unset "PID[poll]"
: >"$T/none.calls"
check_run
stop_all
passed "$RACES races with one winner each, revision $offset at all five"
