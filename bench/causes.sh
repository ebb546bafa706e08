#!/bin/bash
# Prints how many requests were refused, by cause, from a log of all instances:
# first the totals by status and cause, then the five most frequent causes over
# time. Usage: causes.sh LOG [SECONDS]. LOG has a time before each JSON line, as
# the users' bench prints it; SECONDS is the width of a row, 2 by default.
set -euo pipefail
log=${1:?LOG}
width=${2:-2}
awk -v width="$width" '
function field(name,    at, rest) {
	at = index($0, "\"" name "\":")
	if (at == 0)
		return ""
	rest = substr($0, at + length(name) + 3)
	sub(/^"/, "", rest)
	sub(/[",}].*/, "", rest)
	return rest
}
/"event":"refused"/ {
	key = field("status") " " field("cause")
	row = int($1 / width) * width
	total[key]++
	count[row, key]++
	if (!(row in seen)) {
		seen[row] = 1
		rows[++n_rows] = row
	}
}
END {
	for (n = 0; n < 5; n++) {
		best = ""
		for (key in total)
			if (!(key in shown) && (best == "" || total[key] > total[best]))
				best = key
		if (best == "")
			break
		shown[best] = 1
		top[n] = best
	}
	for (key in total)
		printf "%8d  %s\n", total[key], key | "sort -rn"
	close("sort -rn")
	printf "%8s", "from_s"
	for (i = 0; i < n; i++)
		printf "  %s", top[i]
	print ""
	for (r = 1; r <= n_rows; r++) {
		line = sprintf("%8g", rows[r])
		for (i = 0; i < n; i++)
			line = line sprintf("  %*d", length(top[i]), count[rows[r], top[i]])
		print line | "sort -n"
	}
	close("sort -n")
}' "$log"
