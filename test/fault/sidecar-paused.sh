#!/bin/bash
# SIGSTOP of a sidecar until its connections were given up, then SIGCONT:
# every request is answered whole, by resuming or elsewhere, and none twice.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
SILENT_MS=1000
fleet_init "${1:-build/rel}"
fleet_std 2 --slots 4 --speed 100 --prefill 100000
start_load calls --count 40 --concurrency 40 --kinds 1,1,0,0 --tokens-min 20 \
	--tokens-max 40 --prompt-max 8000
wait_for "engine-1 at work" running_at engine-1
kill -STOP "${PID[side-1]}"
sleep 2 # longer than silent_ms, shorter than the time to give up an answer
kill -CONT "${PID[side-1]}"
await_load calls
check_run
expect "answered" "$(count 'whole=1 valid=1' "$T/calls.calls")" -eq 40
stop_all
passed "40 of 40 answered"
