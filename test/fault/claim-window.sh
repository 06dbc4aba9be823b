#!/bin/bash
# A keyed order never runs past the claim window, whatever deadline its caller
# gives: beyond it the key counts no more, and a repeat could run beside it.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
fleet_init "${1:-build/rel}"
export DEADLINE_MS=1000
write_intent
sed -i 's/^claim_window_s = .*/claim_window_s = 2/' "$T/intent.ini"
start_platform
start_plain store --service-ms 5000
start_sidecar side-store stock plain v1 store
start_entry entry-1
ask_plain entry-1 school-1 POST /stock/order -H 'Idempotency-Key: slow-1' \
	-H 'Chestnuthinge-Deadline-Ms: 20000' -d 'bolts' >"$T/order"
grep -q '^HTTP/1.1 504' "$T/order" || fail "not ended: $(cat "$T/order")"
grep -q '^Chestnuthinge-Outcome: unknown' "$T/order" ||
	fail "outcome: $(cat "$T/order")"
ask_plain entry-1 school-1 GET /stock/check \
	-H 'Chestnuthinge-Deadline-Ms: 20000' >"$T/check"
grep -q '^HTTP/1.1 200' "$T/check" || fail "no key, no bound: $(cat "$T/check")"
stop entry-1
stop side-store
echo "a keyed order of 5 s ends with its window of 2 s, one without a key does not"
