#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, into target/review-2. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml
