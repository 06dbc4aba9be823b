#!/bin/bash
# SIGKILL of a sidecar that holds waiting requests: those are answered
# elsewhere; what it had running may be unknown, and nothing else is.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
SILENT_MS=1000
fleet_init "${1:-build/rel}"
fleet_std 2 --slots 4 --speed 100 --prefill 100000
start_load calls --count 60 --concurrency 60 --kinds 1,1,0,0 --tokens-min 20 \
	--tokens-max 40 --prompt-max 8000
wait_for "engine-1 at work" running_at engine-1
note crash name=side-1
crash side-1
await_load calls
check_run
expect "lines" "$(count '^request' "$T/calls.calls")" -eq 60
expect "answered" "$(count 'whole=1 valid=1' "$T/calls.calls")" -ge 40
expect "refused" "$(count 'outcome=not-run' "$T/calls.calls")" -eq 0
lost=$((60 - $(count 'whole=1 valid=1' "$T/calls.calls")))
sent=$(count '^dispatch' "$T/engine-engine-1.events")
expect "lost of what was sent" "$lost" -le "$sent"
stop_all
passed "$((60 - lost)) of 60 answered, $sent were sent to the killed one"
