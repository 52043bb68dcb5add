#!/usr/bin/env bash
# The README's test command: builds the programs that the process tests start, then runs every test.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --locked
cargo test --workspace --locked --no-fail-fast
