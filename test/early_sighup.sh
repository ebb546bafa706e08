#!/bin/bash
# A SIGHUP that arrives before a gateway has installed its handlers must not end
# the process. The settings are a pipe, so that the gateway waits inside its
# start-up until the signal has been sent.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-build}
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT

trap "" PIPE # the gateway may be gone before the settings are written
mkfifo "$tmp/settings"
"$bin/apricotshift" gateway -n -c "$tmp/settings" 2>"$tmp/errors" &
pid=$!
# Opening the pipe returns once the gateway has opened it too.
exec 9>"$tmp/settings"
kill -HUP "$pid"
sleep 0.1
echo '{' >&9 || true
exec 9>&-
status=0
wait "$pid" || status=$?
# The settings are incomplete, so an orderly end has the status of a rejection.
[ "$status" = 1 ] || {
	echo "early SIGHUP: status $status, want 1 (rejected settings)"
	exit 1
}
echo "early_sighup: 1 passed, 0 failed"
