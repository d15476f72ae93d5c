#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --manifest-path review/harness/Cargo.toml

# The earlier build of an upgrade (review/3): the last commit of landing 8.
commit=7bf3b52
source=target/review-earlier/$commit
if [ ! -x "$source/target/release/jacinthpoint" ]; then
    rm -rf "$source"
    mkdir -p "$source"
    git archive "$commit" Cargo.toml Cargo.lock crates platform deploy tests | tar -x -C "$source"
    (cd "$source" && unset CARGO_TARGET_DIR &&
        cargo build --release --locked --no-default-features --bin jacinthpoint)
fi
