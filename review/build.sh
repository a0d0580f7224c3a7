#!/bin/sh
# Builds the stand-ins that the cases start. It needs only the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/standins/main.rs
