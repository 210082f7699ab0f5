#!/usr/bin/env bash
# Regenerates the Rust types of operators' documents and settings. Needs: cargo install cargo-typify --version 0.8.0
set -euo pipefail
cd "$(dirname "$0")/.."
for schema in schemas/*.schema.json; do
  name=$(basename "$schema" .schema.json)
  cargo typify "$schema" --no-builder --output "crates/verbenaring-protocol/src/generated/$name.rs"
  sed -i '1i // Generated from schemas/'"$name"'.schema.json by schemas/generate.sh; do not edit.' \
    "crates/verbenaring-protocol/src/generated/$name.rs"
done
cargo fmt --all
