#!/bin/bash
# Builds the stand-ins of the second review's scripts. The deploy file's build comes before it.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
