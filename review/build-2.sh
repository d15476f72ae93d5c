#!/bin/sh
# Builds the stand-ins and checks that the scripts of review/6 and later start, the project's own
# stand-ins among them. Needs no network once the deploy file's build has run.
set -eu
exec < /dev/null
cd "$(dirname "$0")/harness-2"
CARGO_TARGET_DIR=../../target/review-2 exec cargo build --release --locked --offline
