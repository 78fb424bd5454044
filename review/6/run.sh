#!/usr/bin/env bash
# Plays the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it does
# the same without the disruption. What was sent, answered and run stands in record.txt beside this file.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/quetzalweir ] && [ -x target/kit2 ] || { echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2; exit 2; }
export TROUBLE=${TROUBLE:-1}
exec target/kit2 dropped "$here/record.txt"
