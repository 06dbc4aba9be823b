#!/bin/bash
# The connections between entries and a sidecar go silent for good, both ways
# and then one way, while new ones work: running answers are resumed whole.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
SILENT_MS=1000
fleet_init "${1:-build/rel}"
write_intent
start_platform
start_engine engine-1 --slots 4 --speed 40
start_sidecar side-1 helper model v1 engine-1
spawn_stand relay "$BIN/relay" "${WIRE[side-1]}" "$T/relay.events"
start_entry entry-1 "side-1@127.0.0.1:${PORT[relay]}"
start_entry entry-2 "side-1@127.0.0.1:${PORT[relay]}"

# lose NAME SIGNAL: callers' streams lose their path once they are running.
lose() {
	local seen
	seen=$(count '^prefill' "$T/engine-engine-1.events")
	start_load "$1" --count 4 --concurrency 4 --kinds 1,1,0,0 --seed "$3" \
		--tokens-min 60 --tokens-max 80
	wait_for "answers under way" at_least $((seen + 4)) '^prefill' \
		"$T/engine-engine-1.events"
	kill "-$2" "${PID[relay]}"
	wait_for "silence" at_least "$4" '^silence' "$T/relay.events"
	await_load "$1"
	check_run
	expect "answered, $1" "$(count 'whole=1 valid=1' "$T/$1.calls")" -eq 4
}

lose both-ways USR1 1 1
lose one-way USR2 2 2
stop_all
passed "8 of 8 answered over replaced connections"
