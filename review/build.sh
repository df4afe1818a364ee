#!/bin/sh
# Builds the stand-ins of the scripts: one program of the standard library alone, no package.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
"${RUSTC:-rustc}" --edition 2021 -O -o target/review/standin review/standin/main.rs
