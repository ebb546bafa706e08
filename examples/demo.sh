#!/bin/sh
# Starts a table, simulated backend servers and three instances in two zones on
# loopback, applies the example rules, runs one agent program through all
# instances, and stops them.
set -eu
cd "$(dirname "$0")/.."
tmp=$(mktemp -d)
pids=
instances=
# Instances hand over their shards through the table, so they stop first.
stop() {
	for pid in $instances; do kill "$pid" 2>/dev/null || true; done
	for pid in $instances; do wait "$pid" || true; done
	for pid in $pids; do kill "$pid" 2>/dev/null || true; done
	wait
	rm -rf "$tmp"
}
trap stop EXIT INT TERM
start() {
	out=$1
	shift
	"$@" >"$tmp/$out" 2>&1 &
	pids="$! $pids"
}
wait_for() {
	i=0
	until build/apricotshift status "$1" 2>/dev/null | grep -q "$2"; do
		i=$((i + 1))
		[ $i -lt 150 ] || { echo "demo: $1 is not ready" >&2; exit 1; }
		sleep 0.1
	done
}

start table build/standin table 127.0.0.1:7100
start k1 build/standin engine 127.0.0.1:7201 k1
start k2 build/standin engine 127.0.0.1:7202 k2
start d1 build/standin service 127.0.0.1:7301 d1
sleep 0.3
build/apricotshift apply -p http://127.0.0.1:7100 -r 0 -w demo \
	-y "first rules" examples/rules.txt
for n in 1 2 3; do
	start "n$n" build/apricotshift serve -c "examples/n$n.json"
	instances="$! $instances"
done
for n in 1 2 3; do wait_for "http://127.0.0.1:710$n" '"ready":true'; done

build/standin program demo-key chat-1 "${1:-5}" http://127.0.0.1:7101 \
	http://127.0.0.1:7102 http://127.0.0.1:7103
echo "--- requests received by the backend servers"
cat "$tmp/k1" "$tmp/k2" "$tmp/d1" | sort
echo "--- the rule that defines the program's account"
build/apricotshift explain -p http://127.0.0.1:7100 \
	"1:$(grep -n '^account tumaini' examples/rules.txt | cut -d: -f1)"
build/apricotshift audit -p http://127.0.0.1:7100
if grep -l demo-key "$tmp"/k1 "$tmp"/k2 "$tmp"/d1 "$tmp"/n1; then
	echo "demo: a key reached a backend server or a log" >&2
	exit 1
fi
