#!/bin/sh
# Exit code 0: the rule held; 1: it was broken; 2: the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2

# Ends the case and the routers that it started, if this script is asked to end.
end() {
    for status in $(grep -ls "^PPid:[[:space:]]*$case\$" /proc/[0-9]*/status); do
        pid=${status#/proc/}
        kill -9 "${pid%/status}"
    done
    kill -9 "$case"
    exit 2
}

target/review/release/review-case abandoned "$here" &
case=$!
trap end TERM INT HUP
wait "$case"
