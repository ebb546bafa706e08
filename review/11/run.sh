#!/bin/bash
# Plays the case and writes record.txt beside this script. The exit status is 1
# if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
record=$folder/record.txt
play=target/review-3/play$(basename "$folder")

echo "not run yet" >"$record" || exit 2
not_run() {
	echo "not run: $1" | tee -a "$record"
	exit 2
}

cd "$folder/../.." || not_run "no repository"
[ -x target/apricotshift ] || not_run "the deploy file's build is missing"
[ -x "$play" ] || not_run "review/build-3.sh was not run"
timeout -k 2 119 "$play" "$record"
status=$?
[ "$status" -le 2 ] || not_run "the case ended with $status"
exit "$status"
