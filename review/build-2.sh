#!/bin/sh
# Builds the stand-ins of the cases of the second review, with the standard library only, and
# for case 6 an earlier build of verbenaring-front, from the repository's history.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/harness review/standins-2/main.rs

# The landing before the present one.
production=412dbc3
earlier=target/review-2/earlier-src
rm -rf "$earlier"
mkdir -p "$earlier"
if git archive "$production" Cargo.toml Cargo.lock crates platform 2>/dev/null | tar -x -C "$earlier" 2>/dev/null &&
    [ -f "$earlier/Cargo.toml" ]; then
    echo "earlier build: $production"
else
    # Without the history: the present sources, with snapshots as that build states them,
    # without access rules behind the routes.
    echo "earlier build: present sources with the snapshots of $production"
    cp -R Cargo.toml Cargo.lock crates platform "$earlier/"
    cp review/standins-2/earlier_snapshot.rs "$earlier/crates/verbenaring-core/src/cluster/snapshot.rs"
fi
cargo build --release --locked --offline -p verbenaring-platform \
    --manifest-path "$earlier/Cargo.toml" --target-dir target/review-2/earlier
