#!/bin/bash
# Orders of rollouts that replace one another as they end, each time with all
# daemons killed (test/soak/replace-seeds).
exec "$(dirname "$0")/soak.sh" "${1:-build/rel}" replace-seeds --replace
