#!/bin/sh
# Builds the stand-ins of all cases with the Rust compiler alone, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand-ins/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O "$source" -o "target/review/$name"
done
