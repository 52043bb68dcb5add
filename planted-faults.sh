#!/usr/bin/env bash
# Plants each known fault, one at a time, until the oracle notices it; fails if one goes unnoticed.
set -euo pipefail
cd "$(dirname "$0")"
cargo run --quiet --locked -p shelfjunction-proofs --bin shelfjunction-proofs -- planted
