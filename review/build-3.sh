#!/bin/sh
# Builds the stand-ins of the third review, with the compiler of the project's toolchain and
# without any library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -A dead_code -o target/review-3/stand-in review/stand-in-3/main.rs
