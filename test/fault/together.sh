#!/bin/bash
# Faults together and twice, with all kinds of traffic: the platform is down, a
# path goes silent, an engine is killed, an entry paused, a sidecar killed and
# an engine slow. No request runs twice, no answer is false, and only requests
# of what crashed are lost.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
SILENT_MS=1000
fleet_init "${1:-build/rel}"
write_intent
start_platform
for i in 1 2 3 4; do
	start_engine "engine-$i" --slots 8 --speed $((50 * i))
	start_sidecar "side-$i" helper model v1 "engine-$i"
done
start_plain store
start_sidecar side-store stock plain v1 store
spawn_stand relay "$BIN/relay" "${WIRE[side-4]}" "$T/relay.events"
through=${PEERS/127.0.0.1:${WIRE[side-4]}/127.0.0.1:${PORT[relay]}}
start_entry entry-1 "$through"
start_entry entry-2 "$through"

# done_at_least N: so many requests have their line.
done_at_least() {
	at_least "$1" '^request' "$T/calls.calls"
}

start_load calls --count 400 --concurrency 40 --kinds 3,3,2,2 --twice \
	--tokens-min 10 --tokens-max 40 --prompt-max 4000
wait_for "first answers" done_at_least 20
control platform outage=1
control engine-3 slow=5
wait_for "more answers" done_at_least 60
kill -USR1 "${PID[relay]}"
note crash name=side-1
crash engine-1
kill -STOP "${PID[entry-1]}"
sleep 1.5 # longer than silent_ms
kill -CONT "${PID[entry-1]}"
control platform outage=0
wait_for "more answers" done_at_least 150
note crash name=side-2
crash side-2
kill -USR2 "${PID[relay]}"
control platform lose_answer=2
kill -STOP "${PID[entry-2]}"
sleep 1.5
kill -CONT "${PID[entry-2]}"
await_load calls
check_run
expect "answered" "$(count 'whole=1 valid=1' "$T/calls.calls")" -ge 250
start_load after --count 40 --concurrency 10 --kinds 1,1,1,1 --seed 2
await_load after
check_run
expect "answered afterwards" "$(count 'whole=1 valid=1' "$T/after.calls")" \
	-eq 40
stop_all
passed "$(count 'whole=1 valid=1' "$T/calls.calls") of" \
	"$(count '^request' "$T/calls.calls") answered, then 40 of 40"
