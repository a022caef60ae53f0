#!/bin/sh
# Builds the programs of the cases 6 to 10 into target/review-2/. Run from the
# repository or from anywhere; needs a C compiler and the C library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$case/case.c" ] || continue
    cc -D_GNU_SOURCE -std=c11 -O1 -g -Wall -Wextra -pthread -Ireview/6 \
        "$case/case.c" review/6/rig.c \
        -o "target/review-2/case-$(basename "$case")"
done
