#!/bin/bash
# Runs the case on loopback addresses and writes record.txt beside this file. Exit code 1: the rule
# was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sliphead ] || go build -ldflags=-linkmode=external -o target/ ./cmd/sliphead || exit 2
[ -x target/review-standin ] || review/build.sh || exit 2
TROUBLE="${TROUBLE:-1}" timeout -s KILL 110 target/review-standin gone "review/3/record.txt"
code=$?
[ $code -le 2 ] || code=2
exit $code
