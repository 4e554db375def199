#!/bin/sh
# Plays case 3. Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/sillward ] || { echo "not built"; exit 2; }
exec target/review/standin 3 "$here/record.txt"
