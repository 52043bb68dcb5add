#!/usr/bin/env bash
# Plays every day under bench/days on the given site and prints a table of rules broken and credit.
#
#   bench/play-days.sh BENCH SITE [DAY...]
#
# BENCH is the users' bench program, SITE a site file, DAY the name of a day under bench/days (all when left out).
# Reports stay under target/days. Ends with 1 when a rule was broken or a day failed.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
site=$2
shift 2
reports=target/days/$(basename "$site" .toml)
mkdir -p "$reports"
days=("$@")
if [ ${#days[@]} -eq 0 ]; then
  for file in bench/days/*.toml; do days+=("$(basename "$file" .toml)"); done
fi
broken=0
printf '%-34s %7s %7s %7s  %s\n' day credit served less rules
for day in "${days[@]}"; do
  report=$reports/$day.json
  "$bench" run "$site" "bench/days/$day.toml" --report "$report" ${SEED:+--seed "$SEED"} > "$reports/$day.txt" 2>&1 || true
  python3 - "$day" "$report" <<'PYTHON' || broken=1
import json, sys
day, path = sys.argv[1:]
try:
    report = json.load(open(path))
except OSError:
    print(f"{day:34} not played")
    sys.exit(1)
rules = " ".join(f"{name} {count}" for name, count in report["breaks"].items())
fault = report.get("fault") or ""
exits = report.get("exits_n", 0)
print(f"{day:34} {report['all']['worth']:7.3f} {report['served']:7.3f} {report['G']:7.3f}  {rules} {fault}" + (f" {exits} exits" if exits else ""))
sys.exit(1 if rules or fault else 0)
PYTHON
done
exit $broken
