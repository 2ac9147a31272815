#!/usr/bin/env bash
# Exit code 0: the rule held; 1: it was broken; 2: the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# The case has a process group of its own: what it started is ended with it, however it ends.
set -m
timeout --kill-after=1 115 target/review/release/rig stale-entry "$here" &
case=$!
end() {
    kill -9 -- "-$case" 2>/dev/null
    sleep 0.2
    rm -rf "$TMPDIR"
}
trap 'end; exit 2' TERM INT HUP
wait "$case"
code=$?
end
[ "$code" -le 2 ] || code=2
exit "$code"
