#!/bin/bash
# What a daemon does at its edges: refusals and their statuses, callers that
# hang up, answers that break off, bad starts, graceful shutdown.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
export ASAN_OPTIONS="${ASAN_OPTIONS:-detect_leaks=1}"
fleet_init "${1:-build/san}"

# status_is WANT NAME ANSWER: the HTTP status, and the outcome not-run.
status_is() {
	local got outcome
	got=$(awk 'NR == 1 { print $2; exit }' <<<"$3")
	outcome=$(header Chestnuthinge-Outcome <<<"$3")
	[ "$got" = "$1" ] || fail "$2: status $got, not $1: $3"
	[ "$outcome" = not-run ] || fail "$2: outcome '$outcome'"
	[ "$(grep -ci '^chestnuthinge-outcome' <<<"$3")" = 1 ] ||
		fail "$2: outcome given twice"
}

metric() {
	http_ok "${PORT[$1]}" /metrics | grep -qF "$2"
}

# dispatched MARKER: how often the engine began a request.
dispatched() {
	grep -c "^.*dispatch.*$1" "$T/engine-one.events"
}

write_intent
start_platform
start_engine one --speed 50
start_sidecar side-one helper model v1 one
set_hosts "$HOSTS"
start_entry entry-1

# Refusals, none of which may reach the engine.
status_is 401 "unknown key" "$(ask entry-1 nobody "$(prompt k 2 false)")"
status_is 400 "not JSON" "$(ask entry-1 school-1 '{"model":')"
status_is 400 "no messages" "$(ask entry-1 school-1 '{"model":"helper"}')"
status_is 400 "wrong type" "$(ask entry-1 school-1 \
	'{"model":"helper","messages":[{}],"max_tokens":"many"}')"
status_is 404 "no such model" "$(ask entry-1 school-1 \
	'{"model":"other","messages":[{"role":"user","content":"x"}]}')"
status_is 404 "no such path" "$(ask_plain entry-1 school-1 GET /nowhere)"
status_is 400 "tier 4" "$(ask entry-1 school-1 "$(prompt k 2 false)" \
	-H 'Chestnuthinge-Tier: 4')"
status_is 400 "deadline" "$(ask entry-1 school-1 "$(prompt k 2 false)" \
	-H 'Chestnuthinge-Deadline-Ms: soon')"
status_is 400 "key needed" \
	"$(ask_plain entry-1 school-1 POST /stock/order -d '{}')"
status_is 400 "key needed, by another spelling of the path" \
	"$(ask_plain entry-1 school-1 POST /stock/./%6frder --path-as-is -d '{}')"
head -c 1100000 /dev/zero | tr '\0' ' ' >"$T/large"
status_is 413 "body too large" \
	"$(ask entry-1 school-1 "@$T/large" -H 'Expect:')"
status_is 413 "chunked body too large" "$(ask entry-1 school-1 "@$T/large" \
	-H 'Expect:' -H 'Transfer-Encoding: chunked')"
status_is 413 "header too large" "$(ask entry-1 school-1 "$(prompt k 2 false)" \
	-H "X-Long: $(head -c 17000 /dev/zero | tr '\0' x)")"
[ "$(grep -c dispatch "$T/engine-one.events")" = 0 ] ||
	fail "a refused request reached the engine"
metric entry-1 'chestnuthinge_requests_total{service="",tier="0",code="bad-key"} 1' ||
	fail "the refusals are not counted"

# A refusal of a HEAD request has no body, so that the connection stays usable.
head_twice=$(curl -s -m 5 -o /dev/null -w '%{http_code} ' --head \
	"http://127.0.0.1:${PORT[entry-1]}/nowhere" \
	--next -s -m 5 -o /dev/null -w '%{http_code} %{num_connects}' \
	"http://127.0.0.1:${PORT[entry-1]}/healthz")
[ "$head_twice" = "401 200 0" ] || fail "HEAD, then GET: $head_twice"

# Two requests sent at once on one connection are both answered, and bytes that
# are not HTTP close theirs.
two=$(exec 3<>"/dev/tcp/127.0.0.1/${PORT[entry-1]}" &&
	printf 'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n%s' \
		$'GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3 &&
	timeout 5 cat <&3)
[ "$(grep -c '^HTTP/1.1 200' <<<"$two")" = 2 ] || fail "pipelined: $two"
for garbage in '\x00\xff\xfe\r\n\r\n' 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' \
	'GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n' \
	'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'; do
	(trap '' PIPE
	exec 3<>"/dev/tcp/127.0.0.1/${PORT[entry-1]}" &&
		printf '%b' "$garbage" >&3 &&
		timeout 5 cat <&3 >/dev/null 2>&1
	[ $? != 124 ]) || fail "garbage keeps its connection: $garbage"
	http_ok "${PORT[entry-1]}" /healthz >/dev/null || fail "after $garbage"
done

# A tier may be lowered.
ask entry-1 school-1 "$(prompt low 2 true)" -H 'Chestnuthinge-Tier: 3' >"$T/low"
grep -q DONE "$T/low" || fail "lowered tier: $(cat "$T/low")"
metric entry-1 'chestnuthinge_requests_total{service="helper",tier="3",code="ok"} 1' ||
	fail "the lowered tier is not counted"

# A caller that hangs up has its request cancelled at the engine, whether its
# answer is streamed or gathered.
for stream in true false; do
	ask entry-1 school-1 "$(prompt "hangup-$stream" 500 "$stream")" \
		-m 1 >/dev/null 2>&1
	wait_for "cancel of hangup-$stream" \
		grep -q "cancel.*$(grep "hangup-$stream" "$T/engine-one.events" |
			sed -n 's/.*\(id=[^ ]*\).*/\1/p' | head -n 1)" \
		"$T/engine-one.events"
done

# A keyed request whose caller hangs up before it was sent leaves its key free:
# here the claim is settled only after the hang-up.
start_plain store
start_sidecar side-store stock plain v1 store
set_hosts "$HOSTS"
order() {
	ask_plain entry-1 school-1 POST /stock/order -d '{"item":"anchor"}' \
		-H "Idempotency-Key: $1" "${@:2}"
}
order_answered() {
	[ "$(header Chestnuthinge-Outcome <<<"$(order "$1")")" = answered ]
}
wait_for "an order answered" order_answered first
control platform slow_ms=1000
order held -m 0.3 >/dev/null 2>&1 && fail "the slow claim was not waited for"
control platform slow_ms=0
wait_for "the key free again" order_answered held
[ "$(grep -c 'dispatch.*key=held' "$T/plain-store.events")" = 1 ] ||
	fail "the order did not run once"
[ "$(awk 'NR == 1 { print $2 }' <<<"$(order held)")" = 409 ] ||
	fail "a repeated order was not refused"
stop side-store

# An answer that breaks off for good is not ended as if it were whole.
ask entry-1 school-1 "$(prompt broken 200 true)" >"$T/broken" 2>"$T/broken.err" &
asking=$!
wait_for "the first token" grep -q data: "$T/broken"
crash one
if wait "$asking"; then
	fail "a broken answer ended as whole"
fi
grep -q '\[DONE\]' "$T/broken" && fail "a broken answer has its last event"
start_engine one2 --speed 50
stop entry-1
stop side-one

# Graceful shutdown: what runs is finished, nothing new is taken.
start_sidecar side-two helper model v1 one2
PEERS="side-two@127.0.0.1:${WIRE[side-two]}"
start_entry entry-2
ask entry-2 school-1 "$(prompt drain 50 true)" >"$T/drain" &
asking=$!
wait_for "the first token" grep -q data: "$T/drain"
kill -TERM "${PID[entry-2]}"
wait_for "not ready" grep -q 503 <(curl -s -o /dev/null -w '%{http_code}\n' \
	"http://127.0.0.1:${PORT[entry-2]}/readyz")
status_is 503 "stopping" "$(ask entry-2 school-1 "$(prompt late 2 false)")"
kill -TERM "${PID[entry-2]}"
wait "$asking" || fail "the entry's shutdown cut a request"
grep -q '\[DONE\]' "$T/drain" || fail "the drained answer is not whole"
await_exit entry-2
[ "$EXIT_CODE" = 0 ] || fail "entry-2 ended with $EXIT_CODE"

start_entry entry-3
ask entry-3 school-1 "$(prompt drain2 50 true)" >"$T/drain2" &
asking=$!
wait_for "the first token" grep -q data: "$T/drain2"
kill -TERM "${PID[side-two]}"
wait "$asking" || fail "the sidecar's shutdown cut a request"
grep -q '\[DONE\]' "$T/drain2" || fail "the drained answer is not whole"
await_exit side-two
[ "$EXIT_CODE" = 0 ] || fail "side-two ended with $EXIT_CODE"
status_is 503 "no server" "$(ask entry-3 school-1 "$(prompt none 2 false)" \
	-H 'Chestnuthinge-Deadline-Ms: 500')"

# Bad starts.
code_of() {
	"$BIN/chestnuthinged" "$@" >"$T/start.out" 2>&1
	echo $?
}
[ "$(code_of)" = 2 ] || fail "no settings: $(cat "$T/start.out")"
[ "$(code_of --what)" = 2 ] || fail "unknown option"
[ "$(code_of -c /nonexistent)" = 1 ] || fail "missing settings"
[ "$(code_of -c "$T/entry-3.ini")" = 1 ] || fail "busy port"
grep -q "cannot listen on 127.0.0.1 port ${PORT[entry-3]}" "$T/start.out" ||
	fail "busy port: $(cat "$T/start.out")"
[ "$(code_of --check -c "$T/entry-3.ini")" = 0 ] || fail "check of good settings"
sed 's/^role = .*/role = cook/' "$T/entry-3.ini" >"$T/bad.ini"
[ "$(code_of --check -c "$T/bad.ini")" = 1 ] || fail "check of bad settings"
[ "$(code_of --version)" = 0 ] || fail "version"

stop entry-3

# Callers beyond the bound on connections are turned away, for as long as it is
# reached.
sed -i 's/^connections = .*/connections = 8/' "$T/entry-3.ini"
run_daemon entry-3
wait_for "entry-3 healthy" http_ok "${PORT[entry-3]}" /healthz
fds=()
# Holds a connection on which the entry has answered: it closes those that are
# too many while an earlier one, of a request before, is still open.
hold() {
	local fd line
	exec {fd}<>"/dev/tcp/127.0.0.1/${PORT[entry-3]}" || return 1
	printf 'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n' >&"$fd"
	if read -r -t 5 -u "$fd" line && [[ $line == *' 200 '* ]]; then
		fds+=("$fd")
		return 0
	fi
	exec {fd}>&-
	return 1
}
trap '' PIPE
for _ in 1 2 3 4 5 6 7 8; do
	wait_for "a connection held" hold
done
trap - PIPE
[ ${#fds[@]} = 8 ] || fail "${#fds[@]} of 8 connections held"
turned_away() {
	! http_ok "${PORT[entry-3]}" /healthz
}
wait_for "a connection too many turned away" turned_away
for fd in "${fds[@]}"; do
	exec {fd}>&-
done
wait_for "room again" http_ok "${PORT[entry-3]}" /healthz
refused=$(http_ok "${PORT[entry-3]}" /metrics |
	awk '/^chestnuthinge_connections_refused_total/ { print $2 }')
[ "$refused" -ge 1 ] || fail "refused connections are not counted"
stop entry-3
for f in "$T"/entry-*.err "$T"/side-*.err; do
	grep -q 'AddressSanitizer\|runtime error' "$f" && fail "sanitizer: $f"
done
echo "daemon: refusals, hang-ups, breaks, shutdown and bad starts as stated"
