#!/bin/sh
# Builds every stand-in that the scripts of the cases 6 to 10 start, under
# build/rel. The programs under test are those of the deploy build (target/).
set -e
cd "$(dirname "$0")/.."
for d in base wire conf net platform move ledger entry side http quota edge \
	keeper forward; do
	make --no-print-directory -C "lib/$d" B=rel
done
make --no-print-directory -C platform B=rel
make --no-print-directory -C review/rig-2 B=rel
