#!/bin/sh
# Runs the case with the daemon that the deploy file builds, and ends what is
# left of its processes. TROUBLE=0 does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
RADISHKNOT_DAEMON=$here/../../target/src/daemon/radishknotd
export RADISHKNOT_DAEMON
case "${TROUBLE:-1}" in
0) trouble=0 ;;
*) trouble=1 ;;
esac
if [ ! -x "$RADISHKNOT_DAEMON" ] || [ ! -x "$here/case" ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
# timeout leads a process group of its own, in which the daemons are, too.
timeout -k 3 110 "$here/case" "$here" "$trouble" &
group=$!
wait "$group"
code=$?
kill -KILL -- "-$group" 2>/dev/null
[ "$code" -le 1 ] && exit "$code"
exit 2
