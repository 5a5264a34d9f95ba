#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in removal poison; do
    rustc --edition 2024 -O -o "target/review-2/$name" "review/stand-in-2/$name.rs"
done
