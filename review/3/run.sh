#!/bin/sh
# Plays case 3 with three gateways. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves out the second order.
cd "$(dirname "$0")/../.." || exit 2
test -x target/quetzalweir && test -x target/review-standin || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
trouble=true
test "${TROUBLE:-1}" = 0 && trouble=false
timeout -k 2 110 target/review-standin -case rollback -trouble=$trouble -gateway target/quetzalweir -dir "$dir" -record review/3/record.txt
code=$?
test $code -le 2 || code=2
exit $code
