#!/usr/bin/env bash
# Plants each known fault, one at a time, until the oracle notices it; fails if one goes unnoticed.
set -euo pipefail
cd "$(dirname "$0")"
cargo run --quiet --locked -p shelfjunction-proofs --bin shelfjunction-proofs -- planted
# Requests cut by a stop: nodes that believe that they are ended by force after 2 s, while they have 8 s.
cargo build --quiet --workspace --locked
found=$(target/debug/shelfjunction-lab fault-soak --program target/debug/shelfjunction --planned-work --planted-grace-seconds 2 \
  --seed 7502 --runs 1 --nodes 4 --seconds 12 --callers 8 --streamers 24 --recovery-seconds 90 --logs target/planted-faults \
  | grep --count CutOff || true)
echo "requests cut by a stop with the planted grace: $found found"
[ "$found" -gt 0 ]
# Crowds of unfinished requests: nodes that believe that their machines have far more memory than they are judged by.
found=$(target/debug/shelfjunction-lab fault-soak --program target/debug/shelfjunction --crowds 3 --planted-memory-megabytes 4096 \
  --seed 84001 --runs 1 --seconds 12 --callers 8 --recovery-seconds 90 --logs target/planted-faults \
  | grep --count BeyondMachineMemory || true)
echo "nodes beyond their machine's memory with the planted setting: $found found"
[ "$found" -gt 0 ]
