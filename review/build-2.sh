#!/bin/bash
# Builds what the script cases of the second review start, beside the build of the deploy file:
# the project's stand-in of the store (lab) and the stand-ins of review/tools-2.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cargo build --release --locked --package lab --package platform
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/kit review/tools-2/kit.rs
