#!/bin/bash
# The settings files of deploy/, filled in by the stand-in of the platform in
# review/rig, start an edge host and a keeper: a new name in a template that the
# stand-in does not know, or a value that the daemon refuses, shows here.
set -u
bin=${1:-build/rel}
t=$(mktemp -d "${TMPDIR:-/tmp}/template.XXXXXX")
pid=
trap 'kill -9 $pid 2>/dev/null; rm -rf "$t"' EXIT

# fill ROLE FILE: the settings of a process at an address of its own, since the
# port of its metrics is fixed.
fill() {
	python3 -B - "$1" "127.$((20 + $$ % 200)).3.1" >"$2" <<-'END'
		import sys
		sys.path.insert(0, "review/rig")
		import rig

		role, address = sys.argv[1:]

		class Store:
		    ip, port = address, rig.free_port(address)

		class Rig:
		    dir, store, peers_port = "/", Store, rig.free_port(address)

		print(rig.Proc(Rig, "host-1", role, address).fill())
	END
}

for role in edge keeper; do
	fill "$role" "$t/$role.ini" || exit 1
	"$bin/chestnuthinged" "--$role" -c "$t/$role.ini" >"$t/log" 2>&1 &
	pid=$!
	for _ in $(seq 500); do
		grep -q event=start "$t/log" && break
		sleep 0.02
	done
	grep -q event=start "$t/log" || {
		echo "FAILED: the $role does not start"
		cat "$t/$role.ini" "$t/log"
		exit 1
	}
	kill -TERM $pid
	wait $pid || {
		echo "FAILED: the $role ended with $?"
		cat "$t/log"
		exit 1
	}
done
echo "template: an edge host and a keeper start from the filled settings"
