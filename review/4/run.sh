#!/usr/bin/env bash
# Shows the case of claim.txt; review/build.sh builds what it starts. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/rig/target/release/rig ] || { echo "run review/build.sh first"; exit 2; }
exec review/rig/target/release/rig left-stream review/4
