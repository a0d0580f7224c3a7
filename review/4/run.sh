#!/bin/sh
# Idle connections to the store went silent, then the machines that read the store lose power.
# TROUBLE=0 leaves out both.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x target/review/cases ] || exit 2
exec target/review/cases silence "$here/record.txt"
