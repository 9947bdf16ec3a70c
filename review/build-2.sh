#!/bin/sh
# Builds the stand-ins of cases 6 to 10, with the Rust compiler alone: no dependency, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] || rustc --edition 2024 -O "$source" -o "target/review-2/$name"
done
