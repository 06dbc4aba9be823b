#!/bin/bash
# Three bad versions, one after the other: one fails at once, one is slow, one
# fails only after a while. Each gets a small share at first, is taken back, and
# gets nothing soon after that; every caller's answer stays its own.
# shellcheck source=test/fleet
. "$(dirname "$0")/../fleet"
fleet_init "${1:-build/rel}"
ROUNDS=40 # of traffic at most, until a version is taken back
fleet_std 3 --slots 8 --speed 300 --load-ms 50

# traffic NAME SEED: a round of callers' requests.
traffic() {
	start_load "$1" --count 60 --concurrency 12 --kinds 1,0,0,0 \
		--tokens-min 8 --tokens-max 16 --seed "$2"
	await_load "$1"
}

# share VERSION FROM: percent of the dispatches after line FROM of all logs.
share() {
	cat "$T"/engine-*.events | awk -v v="version=$1" -v since="$2" '
		$1 == "dispatch" && substr($2, 3) >= since {
			n++
			if (index($0, v " ")) { k++ }
		} END { printf "%d", n ? 100 * k / n : 0 }'
}

# try VERSION BASE FAULTS: moves to a bad version until it is taken back.
try() {
	local version=$1 base=$2 e i since
	{
		sed '/^\[version helper/,$d' "$T/intent.ini"
		printf '[version helper/v1]\n\n[version stock/v1]\n\n'
		printf '[version helper/%s]\nreplaces = v1\n' "$version"
		printf 'first_percent = 10\n'
	} >"$T/$version.ini"
	for e in 1 2 3; do
		control "engine-$e" "bad_version=$version&bad_rate=1&$3"
	done
	confirm "$base" "op-$version" "$T/$version.ini" || fail "no confirm"
	for e in 1 2 3; do
		wait_for "$version loaded at engine-$e" at_least 1 \
			"^loaded .*version=$version" "$T/engine-engine-$e.events"
	done
	since=$(awk '{ printf "%d", $1 * 1000 }' /proc/uptime)
	for ((i = 1; i <= ROUNDS; i++)); do
		traffic "$version-$i" "$i"
		status_has entry-1 "to=$version state=reversed" && break
	done
	wait_for "$version taken back at entry-1" \
		status_has entry-1 "to=$version state=reversed"
	wait_for "$version taken back at entry-2" \
		status_has entry-2 "to=$version state=reversed"
	echo "$version ($3): taken back after $i rounds of 60," \
		"$(share "$version" "$since") percent of the traffic"
	expect "share of $version" "$(share "$version" "$since")" -le 35
	note bad "version=$version"
	sleep 1.2 # the checker's window for what was decided before
	traffic "$version-after" 99
	expect "answered afterwards" \
		"$(count 'whole=1 valid=1' "$T/$version-after.calls")" -eq 60
	OFFSET=$(http_ok "${PORT[entry-1]}" /v1/revision | sed 's/.*"offset":\([0-9]*\).*/\1/')
}

try v2 0 'bad_mode=fail&bad_after=0'
try v3 "$OFFSET" 'bad_mode=slow&bad_factor=5&bad_after=0'
try v4 "$OFFSET" 'bad_mode=fail&bad_after=8'
check_run
stop_all
passed "three bad versions taken back"
