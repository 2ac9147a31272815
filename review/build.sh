#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The project's own program comes from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/rig"
cargo build --release --offline --locked
