#!/bin/sh
# Builds the stand-ins of the second review's scripts. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/standin-2/main.rs
# Cases 7 and 8 use the stand-ins of the first review.
rustc --edition 2021 -O -o target/review-2/standin-first review/standin-first/main.rs
