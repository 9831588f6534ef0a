#!/bin/sh
# Builds the stand-ins of all cases; needs no network.
set -eu
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
