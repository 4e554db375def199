#!/bin/sh
# Builds the stand-in of the cases 6 to 10. It needs rustc and no crate.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p target
rustc --edition 2024 -O -o target/standin-2 main.rs
