#!/bin/bash
# Builds the trials of the second review into review/build: each trial.c with
# review/rig-2 and the project's own stand-in store and HTTP modules.
set -e
cd "$(dirname "$0")/.."
B=review/build
modules="serve/hdr serve/inbound serve/input serve/slog serve/sock serve/stats
	serve/tunnel serve/upstream test/standins/rowstore decide/fleet
	decide/fleet_pick decide/goaway decide/versions proto/message
	proto/rows.pb-c"
objects=
for module in $modules; do
	if [ -e "$module.c" ]; then
		objects="$objects $B/obj/$module.o"
	fi
done
make -s -j8 B=$B $objects
packages="glib-2.0 json-c libevent liburcu libprotobuf-c"
for source in review/[0-9]*/trial.c; do
	test -e "$source" || continue
	name=trial$(basename "$(dirname "$source")")
	cc -O2 -g -std=gnu11 -Wall -Wextra -I. -Ireview/rig-2 \
		$(pkg-config --cflags $packages) -o "$B/$name" "$source" \
		review/rig-2/rig2.c review/rig-2/engine.c $objects \
		$(pkg-config --libs $packages) -lhttp_parser -lm
done
