#!/bin/sh
# Weights of a route change while flows are open on it. TROUBLE=0 changes only a time-out instead.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x target/review/cases ] || exit 2
exec target/review/cases weights "$here/record.txt"
