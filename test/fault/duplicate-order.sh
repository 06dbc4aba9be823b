#!/bin/bash
# Each order is sent to two entries at once with the same Idempotency-Key: it
# runs at most once, and one of the two is told so.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
fleet_init "${1:-build/rel}"
fleet_std 1
start_load calls --count 40 --concurrency 8 --kinds 0,0,0,1 --twice
await_load calls
check_run
expect "lines" "$(count '^request' "$T/calls.calls")" -eq 80
expect "runs" "$(count '^dispatch' "$T/plain-store.events")" -eq 40
expect "answered" "$(count 'whole=1 valid=1' "$T/calls.calls")" -ge 40
stop_all
passed "40 orders sent twice, each ran once"
