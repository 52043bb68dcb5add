#!/usr/bin/env python3
"""Derives deployments that nobody tuned for from a site file, and plays days of it on each.

    bench/variants.py BENCH SITE DAY[,DAY...] [SEED...]

BENCH is the users' bench program, SITE a site file whose wire file lies beside it. Each variant changes one trait of the
engines that run models. Prints for each day the credit less prices, the shares served, refused and failed, and rules
broken; processor time is not counted. Sites and reports stay under target/variants. Ends with 1 when a rule was broken.
"""

import json
import pathlib
import re
import shutil
import subprocess
import sys


def scaled(field, factor, whole=False):
    """Multiplies every value of a field."""
    def change(text):
        def value(found):
            number = float(found[2]) * factor
            return found[1] + (str(round(number)) if whole else repr(number))
        return re.sub(rf"(\b{field} = )([0-9.]+)", value, text)
    return change


def fixed(field, value):
    """Sets every value of a field."""
    return lambda text: re.sub(rf"(\b{field} = )([0-9.]+)", rf"\g<1>{value}", text)


def longer_outputs(text):
    """Five times as many tokens between two events."""
    return scaled("stride", 5, whole=True)(text)


VARIANTS = {
    "reading-at-a-third": scaled("prefill_tokens_per_ms", 1 / 3),
    "memory-doubled": scaled("kv_tokens", 2, whole=True),
    "change-of-role-6s": fixed("switch_s", 6.0),
    "prefill-share-0.15": fixed("prefill", 0.15),
    "prefill-share-0.6": fixed("prefill", 0.6),
    "outputs-five-times": longer_outputs,
}

# Only where engines are paid by the second.
PAID_VARIANTS = {
    "start-up-12s": fixed("boot_s", 12.0),
    "spot-price-0.6": fixed("spot_price", 0.6),
    "no-spot": lambda text: re.sub(r"spot_price = [0-9.]+, ", "", text),
    "bound-of-50-a-zone": lambda text: re.sub(r"max = 94, boot_s", "max = 50, boot_s", text),
}


def play(bench, site, day, seed, report):
    """Plays one day; the report, or nothing where there is none."""
    command = [bench, "run", str(site), day, "--no-cpu", "--why", f"variant {site.stem}", "--report", str(report)]
    if seed:
        command += ["--seed", seed]
    with open(report.with_suffix(".txt"), "w") as output:
        subprocess.run(command, stdout=output, stderr=subprocess.STDOUT, check=False)
    return json.loads(report.read_text()) if report.exists() else None


def main():
    bench, source, days, *seeds = sys.argv[1:]
    source = pathlib.Path(source)
    folder = pathlib.Path("target/variants") / source.stem
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    shutil.copy(source.parent / "wire.json", folder / "wire.json")
    text = source.read_text()
    broken = False
    variants = {**PAID_VARIANTS, **VARIANTS} if "spot_price" in text else VARIANTS
    for name, change in variants.items():
        site = folder / f"{name}.toml"
        site.write_text(change(text))
        for day in days.split(","):
            for seed in seeds or [""]:
                report = play(bench, site, day, seed, folder / f"{name}-{day}-{seed or 'own'}.json")
                if report is None:
                    print(f"{name:22} {day:10} not played")
                    broken = True
                    continue
                rules = " ".join(f"{rule} {count}" for rule, count in report["breaks"].items())
                broken = broken or bool(rules or report["fault"])
                print(
                    f"{name:22} {day:10} {report['G']:.3f} served {report['served']:.2f} "
                    f"refused {report['refused']:.2f} failed {report['failed']:.2f} {rules} {report['fault'] or ''}",
                    flush=True,
                )
    sys.exit(1 if broken else 0)


main()
