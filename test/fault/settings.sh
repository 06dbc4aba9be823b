#!/bin/bash
# A live edge host is shown by top; its settings change while it runs: with a signal, without one, to
# a file that can't be read, and in a line that needs a start.
set -u
bin=${1:-build/rel}
t=$(mktemp -d "${TMPDIR:-/tmp}/settings.XXXXXX")
pid=
mapfile -t ports < <("$bin/ports" 4)
trap 'kill -9 $pid 2>/dev/null; rm -rf "$t"' EXIT

fail() {
	echo "FAILED: $*"
	cat "$t/log"
	exit 1
}

# Waits for a line of the log; the last resort ends a test that has failed.
wait_for() {
	for _ in $(seq 500); do
		grep -q "$1" "$t/log" && return
		sleep 0.02
	done
	fail "no line with $1"
}

# Writes the settings, with a level, a quota's slack and a data centre.
settings() {
	cat >"$t/new" <<-EOF
		[process]
		name = edge-1
		data_center = $3
		log_level = $1
		[listen]
		callers = 127.0.0.1:${ports[0]}
		ready = 127.0.0.1:${ports[1]}
		peers = 127.0.0.1:${ports[2]}
		[fleet]
		key = 000102030405060708090a0b0c0d0e0f
		[store]
		address = 127.0.0.1:${ports[3]}
		[bounds]
		quota_slack = $2
	EOF
	mv "$t/new" "$t/edge.ini"
}

# SIGHUP while the settings are read for the first time: the pipe's other end
# opens once the process has come so far.
settings info 1000 dc-1
mkfifo "$t/first.ini"
"$bin/chestnuthinged" --edge -c "$t/first.ini" >"$t/log" 2>&1 &
pid=$!
exec 3>"$t/first.ini"
kill -HUP $pid
rm "$t/first.ini"
cp "$t/edge.ini" "$t/first.ini"
cat "$t/edge.ini" >&3
exec 3>&-
wait_for event=start
kill -9 $pid
wait $pid 2>/dev/null

"$bin/chestnuthinged" --edge -c "$t/edge.ini" >"$t/log" 2>&1 &
pid=$!
wait_for event=start
"$bin/chestnuthinge" top --for 1 "127.0.0.1:${ports[1]}" >"$t/top" ||
	fail "top ended with $?"
grep -q 'edge_store_failures_total.*per_s=' "$t/top" ||
	fail "top shows no failed calls to the store: $(cat "$t/top")"
settings info 2000 dc-1
kill -HUP $pid
wait_for 'event=settings_read asked=1'
settings info 3000 dc-1
wait_for 'event=settings_read asked=0'
settings info many dc-1
wait_for 'event=settings_bad code=10[45] why=".*quota_slack'
settings info 4000 dc-2
wait_for 'event=settings_kept key=data_center'
kill -TERM $pid
wait_for event=stop
wait $pid || fail "ended with $?"
echo "settings: read on a signal and without one; a bad file changes nothing"
