#!/bin/sh
# Plays the case and writes record.txt. Exit code: 1 the rule was broken, 0 it held, 2 the
# case couldn't run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
PROGRAM=target/azurerouter timeout -k 5 -s TERM 115 review/bin/platform deadly review/3/record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
