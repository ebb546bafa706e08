#!/bin/bash
# Runs the load tool with both profiles, three loads and three policies, then
# with each event. Prints a table, stores the JSON lines, and plots the p95
# slowdown if gnuplot is installed. Usage: report.sh OUTDIR [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:?OUTDIR}
seconds=${2:-90}
mkdir -p "$out"
jobs=()
run() { # PROFILE LOAD POLICY EVENT
	while [ "$(jobs -rp | wc -l)" -ge "$(nproc)" ]; do sleep 0.2; done
	timeout 600 build/load latency "$@" "$seconds" >"$out/run.$1.$2.$3.$4" &
	jobs+=($!)
}
for profile in macharia zuiderhaven; do
	for load in 50 80 95; do
		for policy in fair least random; do
			run $profile $load $policy none
		done
	done
	for event in zone cold flood kill; do run $profile 80 fair $event; done
done
wait
cat "$out"/run.* >"$out/report.json"
get() { sed -n "s/.*\"$1\":\"\{0,1\}\([^,\"}]*\).*/\1/p" <<<"$2"; }
printf '%-12s %4s %-7s %-6s %8s %8s %8s %7s %7s %7s %9s %6s %5s\n' profile load \
	policy event p50_ms p95_ms p99_ms slow95 event95 worst wasted failed over
while read -r line; do
	printf '%-12s %4s %-7s %-6s %8s %8s %8s %7s %7s %7s %9s %6s %5s\n' \
		$(for f in profile load policy event p50_ms p95_ms p99_ms \
			slowdown_p95 event_p95 worst_account wasted_tokens \
			failed overloads; do get $f "$line"; done)
done <"$out/report.json" | tee "$out/report.txt"
if command -v gnuplot >/dev/null; then
	for p in fair least random; do
		awk -v p=$p '$1=="macharia" && $3==p && $4=="none" {print $2, $8}' \
			"$out/report.txt" | sort -n >"$out/$p.dat"
	done
	gnuplot -e "set terminal svg; set output '$out/report.svg'; set logscale y;
		set xlabel 'load, %'; set ylabel 'slowdown, p95';
		plot for [p in 'fair least random'] '$out/'.p.'.dat' \
		using 1:2 with linespoints title p"
fi
