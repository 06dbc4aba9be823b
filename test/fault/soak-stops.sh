#!/bin/bash
# Planned stops of edges in turn, under requests that take up to seconds
# (test/soak/stop-seeds). None may end without a whole answer.
exec "$(dirname "$0")/soak.sh" "${1:-build/rel}" stop-seeds --stops
