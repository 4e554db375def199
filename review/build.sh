#!/bin/sh
# Builds the stand-ins of the review, without a network: they need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
"${RUSTC:-rustc}" --edition 2021 -O -o target/review/standin review/standin/main.rs
