#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it does
# the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/cornelraild review/standins/target/release/standins; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec review/standins/target/release/standins drop review/5 "${TROUBLE:-1}"
