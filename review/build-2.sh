#!/bin/sh
# Builds the stand-ins and scripts of the second review. Needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/second-harness/Cargo.toml
