#!/bin/bash
# Servers that say that they leave, all of them at times, while entries lapse
# and edges are killed (test/soak/leave-seeds).
exec "$(dirname "$0")/soak.sh" "${1:-build/rel}" leave-seeds --leave
