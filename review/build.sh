#!/bin/sh
# Builds the stand-ins of the cases and their programs into review/build/.
set -e
review=$(cd "$(dirname "$0")" && pwd)
out=$review/build
cmake -S "$review/.." -B "$out/project" -DCMAKE_BUILD_TYPE=Release
cmake --build "$out/project" -j8 --target site
for folder in "$review"/[0-9]; do
    [ -e "$folder/case.c" ] || continue
    number=$(basename "$folder")
    # shellcheck disable=SC2046
    cc -std=gnu11 -O2 -Wall -Wextra -I"$review/common" -I"$review/../src" \
        -I"$review/../tests" -I"$review/../standin" \
        "$folder"/*.c "$review/common/record.c" -o "$out/case-$number" \
        "$out/project/tests/libsite.a" \
        "$out/project/standin/libobject_server.a" \
        "$out/project/libradishknot.a" "$out/project/libradishknot-core.a" \
        $(pkg-config --cflags --libs glib-2.0 jansson libmicrohttpd libtirpc \
            gnutls neon liburcu) -lm -lpthread
done
