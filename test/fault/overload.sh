#!/bin/bash
# More requests than the engines can take, over all tiers, with little room to
# wait: some are shed, and none while a lower tier that waits then runs.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
WAITING=12
fleet_init "${1:-build/rel}"
fleet_std 2 --slots 8 --speed 40 --prefill 100000
start_load calls --count 300 --concurrency 100 --kinds 1,1,0,0 \
	--tokens-min 10 --tokens-max 40 --prompt-max 8000 --pause 500
await_load calls
check_run

# answered TIER: requests of that tier with a whole answer.
answered() {
	count "tier=$1 .*whole=1 valid=1" "$T/calls.calls"
}

# shed TIER: requests of that tier refused as shed.
shed() {
	count "tier=$1 .*code=206" "$T/calls.calls"
}

expect "lines" "$(count '^request' "$T/calls.calls")" -eq 300
expect "shed" "$(count 'code=206' "$T/calls.calls")" -ge 1
expect "answered" "$(count 'whole=1 valid=1' "$T/calls.calls")" -ge 20
stop_all
passed "answered/shed tier 0: $(answered 0)/$(shed 0)," \
	"1: $(answered 1)/$(shed 1), 3: $(answered 3)/$(shed 3)"
