#!/bin/bash
# Builds the stand-ins of the third review's scripts into target/review-3: each
# review/N/play.c with review/rig-3 and the project's own stand-in store.
set -e
cd "$(dirname "$0")/.."
B=target/review-3
modules="serve/hdr serve/inbound serve/input serve/slog serve/sock serve/stats
	test/standins/rowstore"
objects=
for module in $modules; do
	objects="$objects $B/obj/$module.o"
done
make -s -j8 B=$B $objects
packages="glib-2.0 json-c libevent liburcu"
for source in review/[0-9]*/play.c; do
	test -e "$source" || continue
	cc -O2 -g -std=gnu11 -Wall -Wextra -I. -Ireview/rig-3 \
		$(pkg-config --cflags $packages) \
		-o "$B/play$(basename "$(dirname "$source")")" "$source" \
		review/rig-3/rig3.c $objects $(pkg-config --libs $packages) \
		-lhttp_parser -lpthread -lm
done
