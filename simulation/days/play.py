#!/usr/bin/env python3
"""Runs the fault scenarios ("days") of this directory on deployments with the given bench, and lists broken rules.

    simulation/days/play.py --bench PATH --why "one sentence" SITE [SITE ...] [--only TEXT] [--seeds N,...] [--jobs N]

Exits with 1 if a scenario broke a rule or could not be run.
"""

import argparse
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

SCENARIO_DIR = Path(__file__).resolve().parent
REPOSITORY = SCENARIO_DIR.parent.parent
# A scenario covers less than 40 s of simulated time and runs within seconds, but takes longer on a busy machine.
SCENARIO_TIMEOUT_S = 300
RULES = (
    "MIXED UNASKED TWICE REFUSED DENIED BUDGET ROUTE DRAIN LOST CONFIG ORDER RECOVER ONE LIMIT CEILING GONE Fault"
).split()
BROKEN_RULE = re.compile(r"\b(" + "|".join(RULES) + r")\b")


@dataclass
class ScenarioRun:
    """One scenario on one deployment. Without a seed, the bench uses the one in the scenario's file."""

    site: Path
    scenario: Path
    seed: str | None

    @property
    def name(self) -> str:
        return f"{self.site.stem} {self.scenario.stem}" + (f" seed {self.seed}" if self.seed else "")


@dataclass
class RunResult:
    """The bench's summary row of a scenario, and the report lines that name broken rules or explain a failed run."""

    run: ScenarioRun
    row: str
    broken_rules: list[str]


def run_scenario(bench: str, why: str, run: ScenarioRun) -> RunResult:
    """Runs one scenario and parses the bench's report."""
    command = [bench, "run", str(run.site), str(run.scenario), "--why", why]
    if run.seed:
        command += ["--seed", run.seed]
    try:
        process = subprocess.run(
            command, cwd=REPOSITORY, capture_output=True, text=True, timeout=SCENARIO_TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return RunResult(run, "", [f"not finished within {SCENARIO_TIMEOUT_S} s"])
    lines = process.stdout.splitlines()
    row = next((line for line in lines if line.startswith(run.scenario.stem)), "")
    broken_rules = [line for line in lines if BROKEN_RULE.search(line)]
    if not row or process.returncode != 0:
        broken_rules += lines[:12] + process.stderr.splitlines()[-4:]
    return RunResult(run, row, broken_rules)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True, help="path of the bench executable")
    parser.add_argument("--why", required=True, help="reason of the run, one sentence for the journal")
    parser.add_argument("--only", default="", help="only scenarios whose path contains this text")
    parser.add_argument("--seeds", default="", help="comma-separated seeds for each scenario (default: its own)")
    parser.add_argument("--jobs", type=int, default=3, help="scenarios to run in parallel (default 3)")
    parser.add_argument("sites", metavar="SITE", nargs="+", type=Path, help="file that describes a deployment")
    arguments = parser.parse_args()
    scenarios = [
        path for path in sorted(SCENARIO_DIR.glob("*/*.toml")) if arguments.only in str(path.relative_to(SCENARIO_DIR))
    ]
    seeds = [seed for seed in arguments.seeds.split(",") if seed] or [None]
    runs = [ScenarioRun(site, scenario, seed) for site in arguments.sites for scenario in scenarios for seed in seeds]
    failed = 0
    with ThreadPoolExecutor(arguments.jobs) as pool:
        for outcome in pool.map(lambda run: run_scenario(arguments.bench, arguments.why, run), runs):
            failed += bool(outcome.broken_rules)
            print(("BROKEN " if outcome.broken_rules else "ok     ") + outcome.run.name, outcome.row[24:80], flush=True)
            for line in outcome.broken_rules:
                print("    " + line, flush=True)
    print(f"{len(runs)} scenarios run, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
