#!/usr/bin/env bash
# Builds what the scripts of the second review start: the product, the project's stand-in for the
# platform's store, and the program of each case.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --package node
cargo build --release --package standin
mkdir -p target/review-2
for case in review/*/case.rs; do
    name=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review-2/case-$name" "$case"
done
