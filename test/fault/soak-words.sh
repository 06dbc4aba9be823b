#!/bin/bash
# Servers that name limits, say that they leave, or ask to be left alone
# (test/soak/word-seeds).
exec "$(dirname "$0")/soak.sh" "${1:-build/rel}" word-seeds --words
