#!/usr/bin/env bash
# Plays the case once. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the deploy file's build and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-2/standin
[ -x "$standin" ] && [ -x target/release/lovagehall ] || exit 2
# The stand-in and all that it starts share a process group, which ends with this script.
set -m
"$standin" drain review/8/record.txt &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
exit $?
