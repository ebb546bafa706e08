#!/bin/bash
# Builds the stand-ins of the review's scripts into review/build, from the
# project's own stand-ins and modules and review/lib.
set -e
cd "$(dirname "$0")/.."
B=review/build
modules="serve/clock serve/hdr serve/inbound serve/input serve/slog serve/sock
	serve/stats serve/tunnel serve/upstream test/standins/rowstore
	decide/fleet decide/fleet_pick decide/goaway decide/versions
	proto/message proto/rows.pb-c"
objects=
for module in $modules; do
	if [ -e "$module.c" ]; then
		objects="$objects $B/obj/$module.o"
	fi
done
make -s -j8 B=$B $objects
packages="glib-2.0 json-c libevent liburcu libprotobuf-c"
for source in review/[0-9]*/case.c; do
	test -e "$source" || continue
	name=case$(basename "$(dirname "$source")")
	cc -O2 -g -std=gnu11 -Wall -Wextra -I. -Ireview/lib \
		$(pkg-config --cflags $packages) -o "$B/$name" "$source" \
		review/lib/rig.c $objects $(pkg-config --libs $packages) \
		-lhttp_parser -lm
done
