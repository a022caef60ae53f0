#!/bin/sh
# Builds the stand-ins of the cases in a temporary folder, and the program of
# each case, with them, as review/N/case.
set -e
review=$(cd "$(dirname "$0")" && pwd)
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
cmake -S "$review/.." -B "$out" -DCMAKE_BUILD_TYPE=Release
cmake --build "$out" -j8 --target site
for folder in "$review"/[1-5]; do
    [ -e "$folder/case.c" ] || continue
    # shellcheck disable=SC2046
    cc -std=gnu11 -O2 -Wall -Wextra -I"$review" -I"$review/../src" \
        -I"$review/../tests" -I"$review/../standin" \
        "$folder/case.c" "$review/record.c" -o "$folder/case" \
        "$out/tests/libsite.a" "$out/standin/libobject_server.a" \
        "$out/libradishknot.a" "$out/libradishknot-core.a" \
        $(pkg-config --cflags --libs glib-2.0 jansson libmicrohttpd libtirpc \
            gnutls neon liburcu) -lm -lpthread
done
