#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the same is done
# without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/left-after-crash
if [ ! -x "$program" ]; then
    echo "build with review/build-2.sh first"
    exit 2
fi
case "${TROUBLE:-1}" in
0) export TROUBLE=0 ;;
1) export TROUBLE=1 ;;
*)
    echo "TROUBLE is 0 or 1, not '$TROUBLE'"
    exit 2
    ;;
esac
exec "$program" "$PWD" "$PWD/review/10"
