#!/bin/bash
# Runs the trial of one case. Usage: run.sh FOLDER RECORD. It writes RECORD, also
# if the case can't run, and exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run.
folder=${1:?FOLDER}
record=${2:?RECORD}
cd "$(dirname "$0")/../.." || exit 2
trial=review/build/trial$(basename "$folder")
if [ ! -x "$trial" ] || [ ! -x target/apricotshift ]; then
	echo "not run: build target/apricotshift and run review/build-2.sh first" |
		tee "$record" >&2
	exit 2
fi
timeout -k 2 115 "$trial" "$record"
status=$?
if [ "$status" -gt 1 ]; then
	echo "could not run: status $status" >>"$record"
	exit 2
fi
exit "$status"
