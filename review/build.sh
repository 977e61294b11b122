#!/bin/sh
# Builds the stand-ins that the scripts start: the project's lab and the review's own programs.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --package platform --package lab
mkdir -p target/review
for program in review/tools/*.rs; do
    name=$(basename "$program" .rs)
    rustc --edition 2024 -O -o "target/review/$name" "$program"
done
