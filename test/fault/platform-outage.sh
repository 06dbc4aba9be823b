#!/bin/bash
# The platform is down during traffic: idempotent requests are answered, keyed
# orders are refused as not run; afterwards orders run again. Then appends take
# effect whose answers are lost: the orders run, once each. Last it is slow.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
fleet_init "${1:-build/rel}"
fleet_std 2 --slots 8 --speed 200
start_load before --count 20 --concurrency 5 --kinds 1,1,1,1 --seed 1
await_load before
expect "before" "$(count 'whole=1 valid=1' "$T/before.calls")" -eq 20

control platform outage=1
start_load outage --count 30 --concurrency 10 --kinds 1,1,1,0 --seed 2
start_load orders --count 5 --concurrency 5 --kinds 0,0,0,1 --seed 3
await_load outage
await_load orders
expect "in the outage" "$(count 'whole=1 valid=1' "$T/outage.calls")" -eq 30
expect "orders refused" "$(count 'outcome=not-run' "$T/orders.calls")" -eq 5

control platform outage=0
# works ENTRY: an order gets through again.
works() {
	ask_plain "$1" school-1 POST /stock/order -d '{}' \
		-H "Idempotency-Key: again-$1-$RANDOM$RANDOM" |
		grep -qi 'Chestnuthinge-Outcome: answered'
}
wait_for "entry-1 reads the log" works entry-1
wait_for "entry-2 reads the log" works entry-2
control platform lose_answer=3
start_load lost --count 10 --concurrency 1 --kinds 0,0,0,1 --seed 4
await_load lost
expect "answers lost" "$(count 'whole=1 valid=1' "$T/lost.calls")" -eq 10

# Slow for longer than a read takes to time out: orders may be refused as not
# run, and every other request is answered.
control platform slow_ms=2500
start_load slow --count 20 --concurrency 10 --kinds 1,1,1,0 --seed 5
start_load tardy --count 5 --concurrency 5 --kinds 0,0,0,1 --seed 6
await_load slow
await_load tardy
expect "while slow" "$(count 'whole=1 valid=1' "$T/slow.calls")" -eq 20
expect "orders while slow, run or refused" "$(count \
	'whole=1 valid=1\|outcome=not-run' "$T/tardy.calls")" -eq 5
control platform slow_ms=0
check_run
stop_all
passed "outage: 30 of 30 answered, 5 of 5 orders refused, then 10 of 10 run;" \
	"slow: 20 of 20 answered, orders run" \
	"$(count 'whole=1 valid=1' "$T/tardy.calls") of 5, the rest refused"
