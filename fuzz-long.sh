#!/usr/bin/env bash
# Long fuzz run from a fresh seed: ./fuzz-long.sh [CASES [SEED [RUN]]]. Prints the seed, and the smallest steps of a failure.
set -euo pipefail
cd "$(dirname "$0")"
cargo run --quiet --locked -p shelfjunction-proofs --bin shelfjunction-proofs -- long "$@"
