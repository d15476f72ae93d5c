#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --manifest-path review/harness/Cargo.toml
