#!/bin/bash
# Configuration, versions and leaving hosts, from the log and the host list to
# every process and to the engines, also while the platform is away.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
fleet_init "${1:-build/san}"
SECONDS_OF_DRAIN=8

log_url() {
	echo "http://127.0.0.1:${PORT[platform]}/v1/logs/test/config"
}

# confirm BASE OP FILE: appends a confirm record of the intent.
confirm() {
	local text
	text=$(awk '{ gsub(/\\/, "\\\\"); gsub(/"/, "\\\""); printf "%s\\n", $0 }' \
		"$3")
	printf '{"type":"confirm","base":%d,"op":"%s","text":"%s"}' \
		"$1" "$2" "$text" | curl -sf -m 5 -d @- "$(log_url)" >/dev/null
}

status_has() {
	http_ok "${PORT[$1]}" /status | grep -q "$2"
}

loaded_is() {
	status_has "$1" "versions=$2 "
}

write_intent
start_platform
start_engine one --speed 200 --load-ms 100
start_engine two --speed 200 --load-ms 100
start_sidecar side-one helper model v1 one
start_sidecar side-two helper model v1 two
set_hosts "$HOSTS"
start_entry entry-1

# A sidecar that only the host list knows is found.
start_engine three --speed 200 --load-ms 100
start_sidecar side-three helper model v1 three
set_hosts "$HOSTS"
wait_for "side-three known to entry-1" status_has entry-1 side-three

# An accepted revision reaches every process, and the engines load its version.
{
	cat "$T/intent.ini"
	printf '\n[version helper/v2]\nreplaces = v1\nfirst_percent = 50\n'
} >"$T/intent2.ini"
confirm 0 op-1 "$T/intent2.ini" || fail "the confirm was not taken"
for p in entry-1 side-one side-two side-three; do
	wait_for "revision 1 at $p" status_has "$p" 'revision offset=1 '
done
http_ok "${PORT[entry-1]}" /v1/revision | grep -q '"offset":1' ||
	fail "the revision page"
for p in side-one side-two side-three; do
	wait_for "v2 loaded at $p" loaded_is "$p" v1,v2
done

# A second confirm on the same base changes nothing.
confirm 0 op-2 "$T/intent.ini"
sleep 1
status_has entry-1 'revision offset=1 ' || fail "a lost confirm took effect"

# With the platform away a new entry learns the revision from its sidecars.
control platform outage=1
start_entry entry-2
wait_for "revision 1 at entry-2" status_has entry-2 'revision offset=1 '
ask entry-2 school-1 "$(prompt outage 2 true)" >"$T/outage"
grep -q DONE "$T/outage" || fail "no answer in the outage: $(cat "$T/outage")"
keyed=$(ask_plain entry-2 school-1 POST /stock/order -d '{}' \
	-H 'Idempotency-Key: outage-1')
[ "$(header Chestnuthinge-Outcome <<<"$keyed")" = not-run ] ||
	fail "a keyed request in the outage: $keyed"
control platform outage=0

# A version that fails is taken back, and goes from the engines.
for e in one two three; do
	control "$e" 'bad_version=v2&bad_mode=fail&bad_after=0&bad_rate=1'
done
asks_until_reversed() {
	local i
	for i in 1 2 3 4; do
		ask entry-1 school-1 "$(prompt bad 2 false)" >/dev/null
	done
	status_has entry-1 'to=v2 state=reversed'
}
wait_for "v2 reversed at entry-1" asks_until_reversed
wait_for "v2 reversed at entry-2" status_has entry-2 'to=v2 state=reversed'
result_in_log() {
	curl -sf -m 5 "$(log_url)?from=1" | grep -q 'state[^,]*reversed'
}
wait_for "the result in the log" result_in_log
wait_for "the result read" status_has entry-1 results=1
for p in side-one side-two side-three; do
	wait_for "v2 gone at $p" loaded_is "$p" v1
done

# A host that the list has as leaving gets no new work; the process stays.
HOSTS_LEAVING=${HOSTS/"$(host_json side-one sidecar live)"/"$(host_json side-one sidecar leaving)"}
set_hosts "$HOSTS_LEAVING"
wait_for "side-one leaving" status_has side-one 'leaving=1'
for i in 1 2 3 4 5 6; do
	ask entry-1 school-1 "$(prompt "left-$i" 2 false)" >"$T/left"
	[ "$(header Chestnuthinge-Server <"$T/left")" != side-one ] ||
		fail "a leaving sidecar got work"
done

# A drain asked for through the log ends the process it names, with code 0.
curl -sf -d '{"type":"drain","host":"side-two"}' "$(log_url)" >/dev/null
end=$((SECONDS + SECONDS_OF_DRAIN))
await_exit side-two
[ "$EXIT_CODE" = 0 ] || fail "side-two ended with $EXIT_CODE"
[ "$SECONDS" -lt "$end" ] || fail "the drain took too long"
ask entry-1 school-1 "$(prompt last 2 false)" >"$T/last"
[ "$(header Chestnuthinge-Server <"$T/last")" = side-three ] ||
	fail "after the drain: $(cat "$T/last")"

stop_all
for f in "$T"/entry-*.err "$T"/side-*.err; do
	grep -q 'AddressSanitizer\|runtime error' "$f" && fail "sanitizer: $f"
done
echo "config: revisions, versions, reversal, leaving and drain as stated"
