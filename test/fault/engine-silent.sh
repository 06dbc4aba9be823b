#!/bin/bash
# The connection between a sidecar and its engine goes silent, or breaks, with
# answers on it: the sidecar resumes them by offset, and they arrive whole.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
SILENT_MS=1000
fleet_init "${1:-build/rel}"
fleet_std 1 --slots 4 --speed 40
log=$T/engine-engine-1.events
start_load silent --count 4 --concurrency 4 --kinds 1,0,0,0 --tokens-min 60 \
	--tokens-max 80
wait_for "answers under way" at_least 4 '^prefill' "$log"
control engine-1 silent=1
await_load silent
expect "answered, silent" "$(count 'whole=1 valid=1' "$T/silent.calls")" -eq 4
expect "resumed" "$(count '^resume' "$log")" -ge 1
control engine-1 cut_after=300
start_load cut --count 4 --concurrency 4 --kinds 1,0,0,0 --seed 2 \
	--tokens-min 20 --tokens-max 30
await_load cut
expect "answered, cut" "$(count 'whole=1 valid=1' "$T/cut.calls")" -eq 4
check_run
stop_all
passed "8 of 8 answered, $(count '^resume' "$log") resumes at the engine"
