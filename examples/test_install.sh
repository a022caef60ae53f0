#!/bin/sh
# Installs into a temporary directory and compiles examples/embed_rate.c against
# the installed pkg-config file, with the shared and with the static library.
# Guards against files that are missing from the installation, a .pc file with
# wrong directories or libraries, and public headers that include a header that
# is not installed.
# Usage: test_install.sh BUILD_DIRECTORY PREFIX LIBDIR
set -eu
build=$1
prefix=$2
libdir=$3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
root=$work/root$prefix

DESTDIR=$work/root "$CMAKE" --install "$build" >"$work/install.log"

for file in bin/radishknot sbin/radishknotd "$libdir/libradishknot-core.a" \
    "$libdir/libradishknot-core.so" "$libdir/pkgconfig/radishknot-core.pc" \
    include/radishknot/rate/rate_cache.h share/man/man1/radishknot.1 \
    share/man/man8/radishknotd.8 lib/systemd/system/radishknotd.service \
    share/doc/radishknot/design.md share/doc/radishknot/operators/issue.md \
    share/doc/radishknot/examples/embed_rate.c \
    share/doc/radishknot/examples/hidrantes/settings.json; do
    [ -f "$root/$file" ] || {
        echo "not installed: $file"
        exit 1
    }
done
# The unit must start the program from its installed path.
grep -qx "ExecStart=$prefix/sbin/radishknotd .*" \
    "$root/lib/systemd/system/radishknotd.service"

export PKG_CONFIG_PATH="$root/$libdir/pkgconfig"
flags="-std=c11 -Wall -Wextra -Werror ${SANITIZE:+-fsanitize=$SANITIZE}"
cflags=$(pkg-config --cflags radishknot-core)

# Each public header must compile by itself.
(cd "$root/include/radishknot" && find . -name '*.h' ! -name '*_list.h') |
    while read -r header; do
        printf '#include "%s"\n' "$header" >"$work/header.c"
        "$CC" $flags $cflags -fsyntax-only "$work/header.c"
    done

source=$root/share/doc/radishknot/examples/embed_rate.c
"$CC" $flags $cflags "$source" $(pkg-config --libs radishknot-core) \
    -o "$work/embed_shared"
LD_LIBRARY_PATH="$root/$libdir" "$work/embed_shared"

rm "$root/$libdir"/libradishknot-core.so*
"$CC" $flags $cflags "$source" $(pkg-config --libs --static radishknot-core) \
    -o "$work/embed_static"
"$work/embed_static"
