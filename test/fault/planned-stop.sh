#!/bin/bash
# SIGTERM of a sidecar and of an entry with answers running: nothing is cut
# off, both end with code 0, and the leaving server gets no new work.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
fleet_init "${1:-build/rel}"
fleet_std 2 --slots 4 --speed 50
start_load calls --count 40 --concurrency 12 --kinds 1,1,0,0 --tokens-min 20 \
	--tokens-max 40
wait_for "engine-1 at work" running_at engine-1
note leaving server=engine-1
stop side-1
await_load calls
check_run
expect "answered" "$(count 'whole=1 valid=1' "$T/calls.calls")" -eq 40

seen=$(count '^prefill' "$T/engine-engine-2.events")
start_load last --count 4 --concurrency 4 --kinds 1,1,0,0 --seed 2 \
	--tokens-min 30 --tokens-max 40
wait_for "answers under way" at_least $((seen + 2)) '^prefill' \
	"$T/engine-engine-2.events"
stop entry-1
await_load last
check_run
expect "answered at last" "$(count 'whole=1 valid=1' "$T/last.calls")" -eq 4
stop_all
passed "44 of 44 answered through two planned stops"
