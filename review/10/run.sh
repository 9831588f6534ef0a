#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/left-after-crash
if [ ! -x "$program" ]; then
    echo "build with review/build-2.sh first"
    exit 2
fi
exec "$program" "$PWD" "$PWD/review/10"
