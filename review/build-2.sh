#!/bin/sh
# Builds the stand-ins of the second review; they need no library but Rust's own.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -A dead_code -o target/review-2/standin review/standin-2/main.rs
