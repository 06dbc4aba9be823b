#!/bin/bash
# A store that comes back from a copy again and again, beside other faults
# (test/soak/drill-seeds).
exec "$(dirname "$0")/soak.sh" "${1:-build/rel}" drill-seeds --drills
