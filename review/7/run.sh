#!/bin/bash
# Runs the trial of this case, and writes record.txt beside this file.
cd "$(dirname "$0")" || exit 2
exec ../rig-2/run.sh "$PWD" "$PWD/record.txt"
