#!/usr/bin/env bash
# Runs the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/cornelraild target/review-3/release/refused-order; do
    if [ ! -x "$program" ]; then
        echo "$program is missing; build the deploy file's build and review/build-3.sh" >&2
        exit 2
    fi
done
exec target/review-3/release/refused-order review/14
