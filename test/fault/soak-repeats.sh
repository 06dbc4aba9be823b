#!/bin/bash
# Requests that come again and end each server that runs them
# (test/soak/repeat-seeds).
exec "$(dirname "$0")/soak.sh" "${1:-build/rel}" repeat-seeds --repeats 6
