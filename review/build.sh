#!/bin/sh
# Builds the stand-ins of this review with the pinned toolchain; they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin.rs -o target/review/standin
