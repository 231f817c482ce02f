#!/usr/bin/env bash
# Plays a day of a site with other shares of a core for the entries of one zone, and prints
# what the clients of each zone earn: by which factor the work of these entries may cost more.
#   bench/margin.sh FLEETBENCH SITE DAY ZONE SHARE...
set -euo pipefail
if [ $# -lt 5 ]; then
	sed -n '2,4s/^# *//p' "$0"
	exit 2
fi
fleetbench=$1 site=$2 day=$3 zone=$4
shift 4
for share in "$@"; do
	copy=$(mktemp -d)
	cp "$(dirname "$site")"/* "$copy"
	chmod u+w "$copy"/*
	sed -i "/^machines = \[/,/^\]/ { /class = \"front\".*zone = \"$zone\"/ s/cpu_share = [0-9.]*/cpu_share = $share/ }" "$copy/$(basename "$site")"
	echo "share $share of a core in $zone"
	"$fleetbench" run "$copy/$(basename "$site")" "$day" --jobs 1 --why "margin: $day, entries of $zone at $share of a core" |
		sed -n '/^short of the gate/p; /^clients. zone/,/^$/p; /^how tries/p' | awk '!seen[$0]++'
	rm -r "$copy"
done
