#!/bin/bash
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
play=target/review-3/play$(basename "$(dirname "$(realpath "$0")")")
[ -x "$play" ] || exit 2
exec timeout -k 2 119 "$play" "review/$(basename "$play" | tr -d a-z)"
