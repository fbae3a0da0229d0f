#!/usr/bin/env python3
"""Plays the days of this folder on deployments, with a bench that is given by its path, and lists broken rules.

    simulation/days/play.py --bench PATH --why "one sentence" SITE [SITE ...] [--only TEXT] [--seeds N,...] [--jobs N] [--full]

Exit code 1 where a day broke a rule or was not played.
"""

import argparse
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

DAYS = Path(__file__).resolve().parent
REPOSITORY = DAYS.parent.parent
# A day is under 40 s long and takes seconds to play; a machine at its limits takes longer.
SECONDS_FOR_A_DAY = 300
RULES = (
    "MIXED UNASKED TWICE REFUSED DENIED BUDGET ROUTE DRAIN LOST CONFIG ORDER RECOVER ONE LIMIT CEILING GONE Fault"
).split()
BROKEN = re.compile(r"\b(" + "|".join(RULES) + r")\b")


@dataclass
class Play:
    """One day on one deployment."""

    site: Path
    day: Path
    seed: str | None

    @property
    def name(self) -> str:
        return f"{self.site.stem} {self.day.stem}" + (f" seed {self.seed}" if self.seed else "")


@dataclass
class Outcome:
    """What the bench said of a play."""

    play: Play
    row: str
    broken: list[str]


def play(bench: str, why: str, play: Play) -> Outcome:
    """Runs one day and reads the bench's report of it."""
    command = [bench, "run", str(play.site), str(play.day), "--why", why]
    if play.seed:
        command += ["--seed", play.seed]
    try:
        done = subprocess.run(
            command, cwd=REPOSITORY, capture_output=True, text=True, timeout=SECONDS_FOR_A_DAY, check=False
        )
    except subprocess.TimeoutExpired:
        return Outcome(play, "", [f"not played within {SECONDS_FOR_A_DAY} s"])
    lines = done.stdout.splitlines()
    row = next((line for line in lines if line.startswith(play.day.stem)), "")
    broken = [line for line in lines if BROKEN.search(line)]
    if not row or done.returncode != 0:
        broken += lines[:12] + done.stderr.splitlines()[-4:]
    return Outcome(play, row, broken)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True, help="path of the bench's program")
    parser.add_argument("--why", required=True, help="a sentence for the journal")
    parser.add_argument("--only", default="", help="only days whose path holds this text")
    parser.add_argument("--seeds", default="", help="seeds to play each day with; without it, the day's own")
    parser.add_argument("--jobs", type=int, default=3, help="days played at once")
    parser.add_argument("sites", nargs="+", type=Path)
    arguments = parser.parse_args()
    days = [day for day in sorted(DAYS.glob("*/*.toml")) if arguments.only in str(day.relative_to(DAYS))]
    seeds = [seed for seed in arguments.seeds.split(",") if seed] or [None]
    plays = [Play(site, day, seed) for site in arguments.sites for day in days for seed in seeds]
    failed = 0
    with ThreadPoolExecutor(arguments.jobs) as pool:
        for outcome in pool.map(lambda one: play(arguments.bench, arguments.why, one), plays):
            failed += bool(outcome.broken)
            print(("BROKEN " if outcome.broken else "ok     ") + outcome.play.name, outcome.row[24:80], flush=True)
            for line in outcome.broken:
                print("    " + line, flush=True)
    print(f"{len(plays)} days played, {failed} with a broken rule")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
