#!/bin/sh
# Builds the stand-ins of all scripts, into the project's target folder.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand_ins/Cargo.toml --target-dir target/review
