#!/usr/bin/env bash
# Scores the deployments that a change must not make worse, one after the other; a large one takes about ten minutes.
#
#   bench/regression.sh BENCH SYSTEM [WHY]
#
# BENCH is the users' bench program, SYSTEM the folder of their pages with the site files. Outputs stay under
# target/regression. Ends with 1 when a gate was not passed. JOBS sets the days played at once (1 if not given).
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
system=$2
why=${3:-regression}
sites=(
  large/kadriks-riga-large
  large/rfs-norden-large
  further-grown/obrocnik-lj-grown
  further/obrocnik-lj
  grown/kadriks-riga-grown
  grown/rfs-norden-grown
)
mkdir -p target/regression
failed=0
for site in "${sites[@]}"; do
  output=target/regression/$(basename "$site").txt
  "$bench" score "$system/$site.toml" --jobs "${JOBS:-1}" --why "$why" > "$output" 2>&1 || true
  grep -E '^(score|GATE)' "$output" || echo "$site: no score, see $output"
  grep -q '^GATE passed' "$output" || failed=1
done
exit $failed
