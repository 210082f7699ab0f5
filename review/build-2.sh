#!/bin/sh
# Builds the stand-ins of the cases of the second review. They use the standard library only.
# Case 6 also needs an earlier build of verbenaring-front; see its claim.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/harness review/standins-2/main.rs

# The earlier build: the present sources, with snapshots as builds before the tenants state
# them, without access rules behind the routes.
earlier=target/review-2/earlier-src
rm -rf "$earlier"
mkdir -p "$earlier"
cp -R Cargo.toml Cargo.lock crates platform "$earlier/"
cp review/standins-2/earlier_snapshot.rs "$earlier/crates/verbenaring-core/src/cluster/snapshot.rs"
cargo build --release --locked --offline -p verbenaring-platform \
    --manifest-path "$earlier/Cargo.toml" --target-dir target/review-2/earlier
