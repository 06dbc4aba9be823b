#!/bin/bash
# SIGKILL of an entry: only its own callers lose anything, and no request runs
# twice; the other entry goes on answering.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
SILENT_MS=1000
fleet_init "${1:-build/rel}"
fleet_std 2 --slots 8 --speed 100
start_load calls --count 60 --concurrency 30 --kinds 2,1,0,0 --tokens-min 20 \
	--tokens-max 40
wait_for "engine-1 at work" running_at engine-1
note crash "entry=${PORT[entry-1]}"
crash entry-1
await_load calls
check_run
expect "lines" "$(count '^request' "$T/calls.calls")" -eq 60
expect "answered by entry-2" "$(count \
	"whole=1 valid=1.*entry=${PORT[entry-2]}" "$T/calls.calls")" -eq 30
stop_all
passed "$(count 'whole=1 valid=1' "$T/calls.calls") of 60 answered"
