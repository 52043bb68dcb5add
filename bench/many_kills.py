#!/usr/bin/env python3
"""Plays a day on a deployment with many machines of which most are killed again and again while many engines refuse.

    bench/many_kills.py BENCH SITE [FACTOR]

BENCH is the users' bench program, SITE a site file whose wire file lies beside it. Machines, engines, load and the slack of the
budget for repeats are FACTOR (8 if not given) times those of SITE. The same day is played with and without the kills. Prints rules
broken and credit less prices; sites and reports stay under target/many-kills. Ends with 1 when a rule was broken.
"""

import json
import pathlib
import re
import shutil
import subprocess
import sys

DAY = """
[[day]]
name = "trouble-1"
slot = "trouble"
seed = 116510201
one = 0.298
zero = -0.052
goal = {{ floor = 0.01 }}
floor_classes = [0.01]
floor_zones = [0.01]
labels = []
wall = 60.0
light = false
plan = [
  {{ at = 3.0, kind = "roll_term", share = 1.0, x = 3.0, gap_s = 0.8 }},
]
faults = [
  {{ at = 4.0, kind = "srv_grey", how = "shed", service = "{service}", share = 0.8, x = 0.6, for_s = 24.0 }},
{kills}]
"""

KILL = '  {{ at = {at}, kind = "herd_kill", share = 1.0, for_s = 1.2, how = "all" }},\n'

KILLED_AT = (9.0, 14.0, 19.0, 24.0)


def enlarged(text, factor):
    """The head of a site file without its days, with everything that grows with the number of machines."""
    head = text.split("[[day]]")[0]
    head = re.sub(r'(class = "front".*?count = )(\d+)', lambda found: found[1] + str(int(found[2]) * factor), head)
    grown = lambda found: found[1] + str(int(found[2]) * factor)
    head = re.sub(r'(\{ zone = "[^"]+", count = )(\d+)', grown, head)
    head = re.sub(r"(clients = )(\d+)", grown, head)
    head = re.sub(r"(per_s = )([0-9.]+)(, clients)", lambda found: f"{found[1]}{float(found[2]) * factor}{found[3]}", head)
    return re.sub(r"(budget_slack = )([0-9.]+)", lambda found: f"{found[1]}{float(found[2]) * factor}", head)


def main():
    bench, source, *factor = sys.argv[1:]
    source = pathlib.Path(source)
    folder = pathlib.Path("target/many-kills")
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copy(source.parent / "wire.json", folder / "wire.json")
    head = enlarged(source.read_text(), int(factor[0]) if factor else 8)
    service = re.search(r'name = "([^"]+)", model = "llm"', head)[1]
    broken = False
    for name, kills in (("kills", KILLED_AT), ("calm", ())):
        site = folder / f"{source.stem}-{name}.toml"
        site.write_text(head + DAY.format(service=service, kills="".join(KILL.format(at=at) for at in kills)))
        report = folder / f"{name}.json"
        command = [bench, "run", str(site), "trouble-1", "--why", f"many kills: {name}", "--report", str(report)]
        with open(folder / f"{name}.txt", "w") as output:
            subprocess.run(command, stdout=output, stderr=subprocess.STDOUT, check=False)
        played = json.loads(report.read_text())
        rules = " ".join(f"{rule} {count}" for rule, count in played["breaks"].items())
        broken = broken or bool(rules or played["fault"])
        print(f"{name:6} {played['G']:.3f} {rules} {played['fault'] or ''}", flush=True)
    sys.exit(1 if broken else 0)


main()
