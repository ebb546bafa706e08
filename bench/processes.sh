#!/bin/bash
# Measures CPU time per turn, resident memory and time to first byte of three
# instances on loopback, for N concurrent programs of 12 turns (default 8, then
# 16). For docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
tmp=$(mktemp -d)
pids=()
cleanup() {
	for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$tmp"
}
trap cleanup EXIT
start() { "$@" >>"$tmp/log" 2>&1 & pids+=($!); }
sum_metric() { # METRIC, over all instances
	for n in 1 2 3; do cat "$tmp/m$n"; done |
		awk -v m="apricotshift_$1_total" '$1==m {s+=$2} END {print s}'
}
metrics() {
	for n in 1 2 3; do
		build/standin get "http://127.0.0.1:710$n/metrics" >"$tmp/m$n"
	done
}

start build/standin table 127.0.0.1:7100
start build/standin engine 127.0.0.1:7201 k1 16
start build/standin engine 127.0.0.1:7202 k2 16
start build/standin service 127.0.0.1:7301 d1
sleep 0.5
build/apricotshift apply -p http://127.0.0.1:7100 -r 0 -w bench \
	examples/rules.txt >/dev/null
first=${#pids[@]}
for n in 1 2 3; do start build/apricotshift serve -c "examples/n$n.json"; done
sleep 8
urls="http://127.0.0.1:7101 http://127.0.0.1:7102 http://127.0.0.1:7103"
for programs in "${@:-8 16}"; do for count in $programs; do
	metrics
	cpu=$(sum_metric loop_cpu_seconds) turns=$(sum_metric turns_committed)
	begin=$(date +%s%N)
	callers=()
	for ((i = 0; i < count; i++)); do
		# shellcheck disable=SC2086
		build/standin program demo-key "c$count-$i" 12 $urls \
			>"$tmp/p$count-$i" &
		callers+=($!)
	done
	for p in "${callers[@]}"; do wait "$p"; done
	end=$(date +%s%N)
	metrics
	awk -v n="$count" -v c0="$cpu" -v c1="$(sum_metric loop_cpu_seconds)" \
		-v t0="$turns" -v t1="$(sum_metric turns_committed)" \
		-v ns=$((end - begin)) 'BEGIN {
		printf "{\"programs\":%d,\"turns_s\":%.1f,\"loop_cpu_us_a_turn\":%.0f,",
			n, (t1-t0)/ns*1e9, (c1-c0)*1e6/(t1-t0)}'
	sed -n 's/.*first byte \([0-9]*\) ms.*/\1/p' "$tmp"/p"$count"-* |
		sort -n | awk '{v[NR]=$1} END {
		printf "\"first_byte_p50_ms\":%d,\"first_byte_p95_ms\":%d,",
			v[int(NR/2)+1], v[int(NR*.95)]}'
	awk '/^VmRSS/ {print "\"rss_mb\":" int($2/1024) "}"}' \
		"/proc/${pids[$first]}/status"
done; done
