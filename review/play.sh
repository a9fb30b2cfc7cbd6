#!/bin/bash
# Plays a case: play.sh NAME FOLDER. Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
# TROUBLE=0 leaves the disruptions out; the name of one (kill, still, move, slow) causes that one alone.
cd "$(dirname "$0")/.." || exit 2
root=$PWD
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
for program in bin/larchscale bin/larchctl review/bin/driver; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the deploy file's build and review/build.sh"
		exit 2
	fi
done
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout -k 2 115 review/bin/driver -case "$1" -root "$root" -dir "$dir" -run "$run" -trouble="${TROUBLE:-1}" -record "$2/record.txt"
code=$?
if [ "$code" -gt 1 ]; then
	tail -n 20 "$dir"/*/log 2>/dev/null
	exit 2
fi
exit "$code"
