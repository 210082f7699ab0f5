#!/bin/sh
# Builds the stand-ins that the scripts start. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins.rs
