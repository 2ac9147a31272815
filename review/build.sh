#!/bin/sh
# Builds the stand-ins of all scripts, into the project's target folder.
set -e
cd "$(dirname "$0")/.."
for crate in stand_ins rig; do
    cargo build --release --offline --locked --manifest-path review/$crate/Cargo.toml --target-dir target/review
done
