#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts; they need no library but the standard one.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/standins-3/main.rs
