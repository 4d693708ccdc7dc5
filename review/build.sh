#!/usr/bin/env bash
# Builds the stand-ins that the scripts use. They need no package and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
