#!/bin/bash
# Runs the real processes on loopback: a program survives a killed instance, a
# suspended one and the graceful stop of the third.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-build}
tmp=$(mktemp -d)
declare -A pid
cleanup() {
	for p in "${pid[@]}"; do kill -CONT "$p" 2>/dev/null || true; done
	for p in "${pid[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$tmp"
}
trap cleanup EXIT
start() {
	name=$1
	shift
	"$@" >>"$tmp/$name" 2>&1 &
	pid[$name]=$!
}
fail() { echo "processes: $*"; tail -n 5 "$tmp"/*; exit 1; }
ready() {
	for _ in $(seq 300); do
		$bin/apricotshift status "http://127.0.0.1:710$1" 2>/dev/null |
			grep -q '"ready":true' && return
		sleep 0.1
	done
	fail "instance $1 is not ready"
}
expect() {
	grep -q -- "$2" "$1" || fail "missing '$2' in: $(cat "$1")"
}

start table $bin/standin table 127.0.0.1:7100
start k1 $bin/standin engine 127.0.0.1:7201 k1
start k2 $bin/standin engine 127.0.0.1:7202 k2
start d1 $bin/standin service 127.0.0.1:7301 d1
sleep 0.5
$bin/apricotshift apply -p http://127.0.0.1:7100 -r 0 -w test \
	examples/rules.txt >"$tmp/apply"
expect "$tmp/apply" "revision 1"

# Concurrent changes: the second operator is refused and told who came first.
if $bin/apricotshift apply -p http://127.0.0.1:7100 -r 0 -w late \
	examples/rules.txt 2>"$tmp/race"; then fail "apply succeeded on an outdated revision"; fi
expect "$tmp/race" "test has applied revision 1"

for n in 1 2 3; do
	start "n$n" $bin/apricotshift serve -c "examples/n$n.json"
done
for n in 1 2 3; do ready "$n"; done
urls="http://127.0.0.1:7101 http://127.0.0.1:7102 http://127.0.0.1:7103"

# shellcheck disable=SC2086
$bin/standin program demo-key calm 4 $urls >"$tmp/calm" || fail "a program failed without any fault"
# shellcheck disable=SC2086
$bin/standin program demo-key storm 12 $urls >"$tmp/storm" &
storm=$!
sleep 1
kill -KILL "${pid[n1]}"
sleep 1
kill -STOP "${pid[n2]}"
sleep 6
kill -CONT "${pid[n2]}"
start n1 $bin/apricotshift serve -c examples/n1.json
wait "$storm" || fail "a program did not survive the faults"
ready 1
ready 2

# A graceful stop interrupts no call and exits with status 0.
# shellcheck disable=SC2086
$bin/standin program demo-key drain 8 http://127.0.0.1:7103 $urls \
	>"$tmp/drain" &
drain=$!
sleep 1
kill -TERM "${pid[n3]}"
wait "${pid[n3]}" || fail "n3 did not stop gracefully"
unset 'pid[n3]'
wait "$drain" || fail "the graceful stop interrupted a program"

# Bad input gets specific errors and does not stop the process.
$bin/standin program wrong-key bad 3 http://127.0.0.1:7101 >"$tmp/bad" || true
expect "$tmp/bad" '"executed":"no","step":"entry"'

post() { # PATH BODY [HEADER]...
	path=$1
	shift
	$bin/standin post "http://127.0.0.1:7101$path" "$@"
}
auth="Authorization: Bearer demo-key"
chat='{"model":"kitchen-model","messages":[{"role":"user","content":"out=4"}]}'

# A retry with the same idempotency key at another instance gets the first
# answer.
a=$($bin/standin post http://127.0.0.1:7101/v1/services/orders '{"n":1}' \
	"$auth" "Idempotency-Key: order-1")
b=$($bin/standin post http://127.0.0.1:7102/v1/services/orders '{"n":1}' \
	"$auth" "Idempotency-Key: order-1")
[ "$a" = "$b" ] && [ "${a%% *}" = 200 ] || fail "retry with an idempotency key: $a, then $b"
post /v1/services/orders '{"n":2}' "$auth" "Idempotency-Key: order-1" \
	>"$tmp/other"
expect "$tmp/other" '^409 .*"executed":"no"'
post /v1/services/hours '{}' >"$tmp/open"
expect "$tmp/open" '^200 '
post /v1/services/orders '{}' >"$tmp/nokey"
expect "$tmp/nokey" '^401 .*"executed":"no"'
post /v1/chat/completions "$chat" "$auth" >"$tmp/chat"
expect "$tmp/chat" '^200 .*"rule":"1:'
# A truncated response is never passed on as an answer: after the second one
# the request fails.
post /v1/chat/completions "${chat/out=4/CUT out=40}" "$auth" >"$tmp/cut"
expect "$tmp/cut" '^[45].*"executed":"unknown"'
post /v1/chat/completions '{"model":"x","messages":[{}]}' "$auth" >"$tmp/model"
expect "$tmp/model" '^404 .*"step":"entry"'
post /v1/chat/completions '{"model"' "$auth" >"$tmp/json"
expect "$tmp/json" '^400 '
post /v1/chat/completions "$(head -c 120000 /dev/zero | tr '\0' x)" "$auth" \
	"Content-Length: 99999999" >"$tmp/big"
expect "$tmp/big" '^413 '

# A zone taken out gets no new runs, and a withdrawn key is refused.
sed '/account tumaini *#/!b;d' examples/rules.txt |
	sed '$azone a state out # Kamau: test' >"$tmp/rules"
$bin/apricotshift apply -p http://127.0.0.1:7100 -r 1 -w kamau \
	"$tmp/rules" >"$tmp/apply2"
expect "$tmp/apply2" "revision 2"
sleep 3
post /v1/chat/completions "$chat" "$auth" >"$tmp/withdrawn"
expect "$tmp/withdrawn" '^401 .*"executed":"no"'
before=$(grep -c start "$tmp/k1" || true)
for _ in 1 2 3 4; do
	post /v1/chat/completions "$chat" "Authorization: Bearer kibera-key" \
		>"$tmp/kibera"
	expect "$tmp/kibera" '^200 '
done
[ "$(grep -c start "$tmp/k1" || true)" = "$before" ] || fail "zone a got new runs"
$bin/apricotshift audit -p http://127.0.0.1:7100 >"$tmp/audit"
expect "$tmp/audit" '^2 .* kamau'

orders=$(grep -c ' start program=tumaini/' "$tmp/d1")
[ "$orders" = 4 ] || fail "$orders orders ran, expected 4"
if grep -l demo-key "$tmp"/k? "$tmp"/d? "$tmp"/n?; then fail "a key is in a log"; fi
grep -c ' release program=tumaini/calm ok=1' "$tmp"/k? >/dev/null ||
	fail "an ended program was not released at the servers"
echo "processes: 1 passed, 0 failed"
