#!/bin/bash
# Servers that want nothing for a while, all of them at times, while entries
# lapse and edges are killed (test/soak/rest-seeds).
exec "$(dirname "$0")/soak.sh" "${1:-build/rel}" rest-seeds --rest
