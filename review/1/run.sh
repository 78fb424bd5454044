#!/bin/sh
# Plays case 1 with three gateways. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 makes the version a sound one.
cd "$(dirname "$0")/../.." || exit 2
test -x target/quetzalweir && test -x target/review-standin || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
trouble=true
test "${TROUBLE:-1}" = 0 && trouble=false
timeout -k 2 110 target/review-standin -case load -trouble=$trouble -gateway target/quetzalweir -dir "$dir" -record review/1/record.txt
code=$?
test $code -le 2 || code=2
exit $code
