#!/bin/sh
# Plays the case "withdrawn" (review/_third/platform/withdrawn.go).
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azurerouter ] && [ -x target/review-3 ] || { echo "build first: the build of the deploy file, then review/build-3.sh" >&2; exit 2; }
exec target/review-3 withdrawn review/12/record.txt
