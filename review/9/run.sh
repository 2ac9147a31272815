#!/bin/sh
# Plays the case "early". Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/release/redwingrilld || exit 2
exec review/second-harness/target/release/second-harness early review/9
