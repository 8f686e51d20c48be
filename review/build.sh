#!/usr/bin/env bash
# Builds the stand-ins of the review with the standard library alone, into the ignored folder target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-standins review/standins/main.rs
