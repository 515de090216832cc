#!/bin/sh
# Builds the stand-ins of the cases. Needs the toolchain of the project and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
rustc --edition 2021 -O -o target/review/standin-first review/standin-first/main.rs
