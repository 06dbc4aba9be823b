#!/bin/bash
# SIGKILL of an engine with streams running: their callers see a cut or an
# unknown outcome, nobody a whole answer that is none; the rest is answered.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
SILENT_MS=1000
fleet_init "${1:-build/rel}"
fleet_std 2 --slots 4 --speed 100
start_load calls --count 60 --concurrency 30 --kinds 2,1,0,0 --tokens-min 20 \
	--tokens-max 40
wait_for "engine-1 at work" running_at engine-1
note crash name=side-1
crash engine-1
await_load calls
check_run
expect "lines" "$(count '^request' "$T/calls.calls")" -eq 60
expect "answered" "$(count 'whole=1 valid=1' "$T/calls.calls")" -ge 30
start_load after --count 20 --concurrency 10 --kinds 1,1,0,0
await_load after
expect "answered afterwards" "$(count 'whole=1 valid=1' "$T/after.calls")" \
	-eq 20
check_run
stop_all
passed "$(count 'whole=1 valid=1' "$T/calls.calls") of 60 answered"
