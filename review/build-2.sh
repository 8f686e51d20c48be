#!/bin/bash
# Builds the stand-ins of the second review into target/, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/standin-2 review/standins-2/main.rs
