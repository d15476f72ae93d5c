#!/bin/sh
# Builds the stand-ins and scripts of the cases in review/11 and later, into target/review-3.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review-3" cargo build --release --locked --manifest-path review/harness-3/Cargo.toml
