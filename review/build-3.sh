#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review: one program a case, without libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review-3/case-$number" "$case"
done
