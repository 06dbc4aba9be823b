#!/bin/bash
# One of three equal engines becomes ten times slower during traffic: all is
# answered, and the slow one gets less work than each of the others.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
fleet_init "${1:-build/rel}"
fleet_std 3 --slots 8 --speed 200

# sent ENGINE: requests dispatched to it.
sent() {
	count '^dispatch' "$T/engine-$1.events"
}

start_load before --count 100 --concurrency 20 --kinds 1,1,0,0 \
	--tokens-min 10 --tokens-max 20 --prompt-max 2000
await_load before
control engine-1 slow=10
b1=$(sent engine-1) b2=$(sent engine-2) b3=$(sent engine-3)
start_load slow --count 300 --concurrency 20 --kinds 1,1,0,0 --seed 2 \
	--tokens-min 10 --tokens-max 20 --prompt-max 2000
await_load slow
check_run
expect "answered" "$(count 'whole=1 valid=1' "$T/slow.calls")" -eq 300
s1=$(($(sent engine-1) - b1))
s2=$(($(sent engine-2) - b2))
s3=$(($(sent engine-3) - b3))
expect "sent to the slow one, against engine-2" "$s1" -lt "$s2"
expect "sent to the slow one, against engine-3" "$s1" -lt "$s3"
stop_all
passed "300 of 300 answered; sent to the slow one $s1, to the others $s2 and $s3"
