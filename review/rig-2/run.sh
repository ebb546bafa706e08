#!/bin/bash
# Runs the trial of one case, whose folder is the argument. It exits with 1 if
# the rule was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
trial=review/build/trial$(basename "$folder")
if [ ! -x "$trial" ] || [ ! -x target/apricotshift ]; then
	echo "build target/apricotshift and run review/build-2.sh first" >&2
	exit 2
fi
timeout -k 2 115 "$trial" "$folder/record.txt"
status=$?
if [ "$status" -gt 1 ]; then
	exit 2
fi
exit "$status"
