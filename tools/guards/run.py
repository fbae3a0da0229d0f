#!/usr/bin/env python3
"""Takes guards out of the code, one at a time, and tells which tests fail without them.

Each `*.toml` beside this file lists guards of one area. README.md tells the form and how to read the result.
"""

from __future__ import annotations

import argparse
import fcntl
import json
import os
import queue
import re
import signal
import subprocess
import sys
import threading
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO

HERE = Path(__file__).resolve().parent
REPOSITORY = HERE.parent.parent
SCRATCH = (REPOSITORY / "target" / "guards").resolve()

BUILD_LIMIT_S = 1800.0
"""Seconds that a build may take."""
DEFAULT_TEST_LIMIT_S = 240.0
"""Seconds that the tests of one guard may take."""
LISTED_TESTS = 6
"""Failed tests that a row of the table names; the rest are counted."""

CARGO_SETTINGS = {
    "CARGO_PROFILE_DEV_DEBUG": "0",
    "CARGO_INCREMENTAL": "0",
    "CARGO_TERM_COLOR": "never",
    # A snapshot that differs is a failure, never a file to be looked at later.
    "INSTA_UPDATE": "no",
    "INSTA_FORCE_PASS": "0",
}


class ListError(Exception):
    """Guards cannot be tried: a list is not as README.md says or does not fit the code, or another run is under way."""


@dataclass(frozen=True)
class Guard:
    """A place in the code, and the code without it."""

    name: str
    page: str
    file: str
    find: str
    replace: str
    packages: tuple[str, ...]
    tests: tuple[str, ...]
    state: bool
    area: str
    """Name of the list, without its ending."""

    @property
    def label(self) -> str:
        """Area and name: unique over all lists."""
        return f"{self.area}/{self.name}"


@dataclass
class Outcome:
    """What the tests said of one build of the code."""

    compiled: bool
    failed: set[str] = field(default_factory=set)
    """Last path parts of the tests that failed or did not end."""
    broken_targets: list[str] = field(default_factory=list)
    """Test programs that ran out of time or ended without a result."""
    seconds: float = 0.0


@dataclass(frozen=True)
class Verdict:
    """One row of the table."""

    guard: Guard
    failed: tuple[str, ...]
    broken_targets: tuple[str, ...]
    text: str
    caught: bool
    seconds: float


# --- Lists ---------------------------------------------------------------------------------------------------------


def read_guards(lists: list[Path]) -> list[Guard]:
    """Reads lists of guards; raises `ListError` where one has another form or a name stands twice."""
    guards: list[Guard] = []
    for path in lists:
        entries = tomllib.loads(path.read_text(encoding="utf-8")).get("guard", [])
        guards += [read_guard(entry, path) for entry in entries]
    labels = [guard.label for guard in guards]
    for label in sorted({label for label in labels if labels.count(label) > 1}):
        raise ListError(f"{label}: stands in its list more than once")
    return guards


def read_guard(entry: dict[str, object], path: Path) -> Guard:
    """Reads one guard."""
    name = entry.get("name")

    def text(key: str) -> str:
        value = entry.get(key)
        if not isinstance(value, str) or (not value and key != "replace"):
            raise ListError(f"{path.name}: {name}: `{key}` must be a text")
        return value

    def texts(key: str) -> tuple[str, ...]:
        value = entry.get(key)
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise ListError(f"{path.name}: {name}: `{key}` must be a list of names")
        return tuple(value)

    state = entry.get("state", False)
    if not isinstance(state, bool):
        raise ListError(f"{path.name}: {name}: `state` must be true or false")
    return Guard(
        name=text("name"),
        page=text("page"),
        file=text("file"),
        find=text("find"),
        replace=text("replace"),
        packages=texts("packages"),
        tests=texts("tests"),
        state=state,
        area=path.stem,
    )


def check_guards(guards: list[Guard], tracked: list[str]) -> list[str]:
    """What in the lists does not fit the code."""
    sources = {name: read_text(name) for name in tracked if name.endswith(".rs")}
    functions = set(re.findall(r"\bfn\s+(\w+)", "\n".join(sources.values())))
    manifests = [read_text(name) for name in tracked if name.endswith("Cargo.toml")]
    packages = {tomllib.loads(text).get("package", {}).get("name") for text in manifests}
    problems = []
    for guard in guards:
        if not guard.packages:
            problems.append(f"{guard.label}: `packages` names none")
        label = guard.label
        count = sources.get(guard.file, "").count(guard.find)
        if guard.file not in sources:
            problems.append(f"{label}: {guard.file} is no source of the repository")
        elif count != 1:
            problems.append(f"{label}: `find` stands {count} times in {guard.file}, expected once")
        if guard.find == guard.replace:
            problems.append(f"{label}: `replace` is what `find` is")
        problems += [f"{label}: no package {name}" for name in guard.packages if name not in packages]
        problems += [f"{label}: no test {name}" for name in guard.tests if name not in functions]
    return problems


def programs_of(guard: Guard, tracked: list[str]) -> tuple[str, ...]:
    """The test programs that hold the tests that a guard names; none if they cannot be told by their files."""
    chosen: set[str] = set()
    for name in guard.tests:
        wanted = re.compile(rf"\bfn\s+{re.escape(name)}\b")
        holders = {path for path in tracked if path.endswith(".rs") and wanted.search(read_text(path))}
        if not holders or any(Path(path).parent.name != "tests" for path in holders):
            return ()
        chosen |= {Path(path).stem for path in holders}
    return tuple(sorted(chosen))


def tracked_files() -> list[str]:
    """The files that git tracks or would track, journal entries apart."""
    command = ["git", "ls-files", "-z", "--cached", "--others", "--exclude-standard", "--", ".", ":!journal"]
    listed = subprocess.run(command, cwd=REPOSITORY, check=True, capture_output=True)
    names = sorted(set(listed.stdout.decode().split("\0")) - {""})
    return [name for name in names if (REPOSITORY / name).is_file()]


def read_text(name: str) -> str:
    """A file of the repository."""
    return (REPOSITORY / name).read_text(encoding="utf-8")


# --- Scratch copies ------------------------------------------------------------------------------------------------


class ScratchCopy:
    """A copy of the repository's files with a target folder of its own, kept from run to run."""

    def __init__(self, number: int) -> None:
        self.folder = SCRATCH / f"worker-{number}"
        self.source = self.folder / "source"
        self.logs = SCRATCH / "logs"
        self.environment = os.environ | CARGO_SETTINGS | {"CARGO_TARGET_DIR": str(self.folder / "target")}

    def refresh(self, tracked: list[str]) -> None:
        """Makes the copy equal to the repository. Equal files stay untouched, so that they are not built again."""
        self.logs.mkdir(parents=True, exist_ok=True)
        for name in tracked:
            content, place = (REPOSITORY / name).read_bytes(), self.source / name
            if not place.is_file() or place.read_bytes() != content:
                place.parent.mkdir(parents=True, exist_ok=True)
                place.write_bytes(content)
        wanted = {self.source / name for name in tracked}
        for place in [place for place in self.source.rglob("*") if place.is_file() and place not in wanted]:
            place.unlink()

    def try_without(self, guard: Guard, chosen: tuple[str, ...], limit_s: float) -> Outcome:
        """Runs the tests with the guard taken out, and puts it back. Only the chosen programs, if there are any."""
        place = self.source / guard.file
        original = place.read_text(encoding="utf-8")
        # Both writes give the file a new time: cargo goes by that.
        place.write_text(original.replace(guard.find, guard.replace), encoding="utf-8")
        try:
            return self.run_tests(guard.label.replace("/", "."), guard.packages, chosen, limit_s)
        finally:
            place.write_text(original, encoding="utf-8")

    def run_tests(
        self, name: str, packages: tuple[str, ...], chosen: tuple[str, ...], limit_s: float
    ) -> Outcome:
        """Builds and runs the chosen test programs of some packages, or all, within a limit for all together."""
        begun = time.monotonic()
        with (self.logs / f"{name}.log").open("w", encoding="utf-8") as log:
            programs = self.build(packages, chosen, log)
            if programs is None:
                return Outcome(compiled=False, seconds=time.monotonic() - begun)
            outcome = Outcome(compiled=True)
            deadline = time.monotonic() + limit_s
            for program in programs:
                self.run_program(program, deadline, outcome, log)
        outcome.seconds = time.monotonic() - begun
        return outcome

    def build(self, packages: tuple[str, ...], chosen: tuple[str, ...], log: TextIO) -> list[TestProgram] | None:
        """Builds the chosen test programs, or all; `None` if that fails."""
        command = ["cargo", "test", "--locked", "--no-run", "--message-format=json-render-diagnostics"]
        command += [argument for package in packages for argument in ("-p", package)]
        command += [argument for program in chosen for argument in ("--test", program)]
        ended = run_limited(command, self.source, self.environment, BUILD_LIMIT_S)
        log.write(ended.errors)
        if ended.code != 0:
            return None
        messages = [json.loads(line) for line in ended.output.splitlines() if line.startswith("{")]
        return [
            TestProgram(message["target"]["name"], message["executable"], Path(message["manifest_path"]).parent)
            for message in messages
            if message.get("reason") == "compiler-artifact" and message["executable"] and message["profile"]["test"]
        ]

    def run_program(self, program: TestProgram, deadline: float, outcome: Outcome, log: TextIO) -> None:
        """Runs one test program and notes what failed in it."""
        left = max(deadline - time.monotonic(), 1.0)
        environment = self.environment | {"CARGO_MANIFEST_DIR": str(program.package)}
        ended = run_limited([program.path], program.package, environment, left)
        log.write(f"--- {program.name}\n{ended.output}\n{ended.errors}\n")
        failed = failed_tests(ended.output)
        if ended.code is None:
            outcome.broken_targets.append(f"{program.name} (not ended in {left:.0f} s)")
            failed |= unfinished_tests(ended.output)
        elif ended.code != 0 and not failed:
            outcome.broken_targets.append(f"{program.name} (ended with {ended.code})")
        outcome.failed |= failed


@dataclass(frozen=True)
class TestProgram:
    """A program that holds tests."""

    name: str
    path: str
    package: Path


@dataclass(frozen=True)
class Ended:
    """How a program ended; without a code if it ran out of time."""

    code: int | None
    output: str
    errors: str


class Running:
    """Programs under way, so that they can be ended with the script."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.programs: set[subprocess.Popen[str]] = set()

    def end_all(self) -> None:
        """Ends all programs, with all that they started."""
        with self.lock:
            for program in self.programs:
                end_group(program)


RUNNING = Running()


def end_group(program: subprocess.Popen[str]) -> None:
    """Ends a program with all that it started."""
    try:
        os.killpg(program.pid, signal.SIGKILL)
    except ProcessLookupError:
        pass


def run_limited(command: list[str], folder: Path, environment: dict[str, str], limit_s: float) -> Ended:
    """Runs a program for so many seconds at most, and ends it with all that it started."""
    program = subprocess.Popen(
        command,
        cwd=folder,
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        start_new_session=True,
        text=True,
        errors="replace",
    )
    with RUNNING.lock:
        RUNNING.programs.add(program)
    try:
        output, errors = program.communicate(timeout=limit_s)
        return Ended(program.returncode, output, errors)
    except subprocess.TimeoutExpired:
        end_group(program)
        output, errors = program.communicate()
        return Ended(None, output, errors)
    finally:
        with RUNNING.lock:
            RUNNING.programs.discard(program)


# --- Results -------------------------------------------------------------------------------------------------------

RESULT = re.compile(r"^test (\S+)(?: - should panic)? \.\.\. (ok|FAILED|ignored)", re.MULTILINE)
LISTED_FAILURES = re.compile(r"^failures:\n((?:    \S+\n)+)", re.MULTILINE)
LONG = re.compile(r"^test (\S+) has been running for over \d+ seconds", re.MULTILINE)


def last_part(path: str) -> str:
    """The name of a test without its modules."""
    return path.rsplit("::", 1)[-1]


def failed_tests(output: str) -> set[str]:
    """The tests that failed, by the lines of the harness and by its list at the end."""
    by_line = [name for name, result in RESULT.findall(output) if result == "FAILED"]
    by_list = [name for block in LISTED_FAILURES.findall(output) for name in block.split()]
    return {last_part(name) for name in by_line + by_list}


def unfinished_tests(output: str) -> set[str]:
    """The tests that the harness called long and that have no result."""
    ended = {name for name, _ in RESULT.findall(output)}
    return {last_part(name) for name in LONG.findall(output) if name not in ended}


def judge(guard: Guard, outcome: Outcome, unchanged: Outcome) -> Verdict:
    """Compares what failed without the guard with what should, and with what fails with it."""
    failed = outcome.failed - unchanged.failed
    broken = [target for target in outcome.broken_targets if target not in unchanged.broken_targets]
    missing = [name for name in guard.tests if name not in failed]
    if not outcome.compiled:
        text = "does not compile"
    elif not failed and not broken:
        text = "not caught"
    elif missing:
        text = "named test did not fail: " + ", ".join(missing)
    else:
        text = "caught"
    others = sorted(failed.difference(guard.tests))
    named = [name for name in guard.tests if name in failed]
    return Verdict(guard, tuple(named + others), tuple(broken), text, text == "caught", outcome.seconds)


def as_markdown(verdicts: list[Verdict], chosen: int) -> str:
    """The table for the page."""
    caught = sum(verdict.caught for verdict in verdicts)
    lines = [
        "# Guards taken out",
        "",
        f"`tools/guards/run.py` took out {len(verdicts)} of {chosen} guards, one at a time; {caught} were caught by all"
        " tests that their lists name. Guards marked with * concern the safety of state.",
        "",
        "| guard | rules out | tests that failed without it | verdict |",
        "| --- | --- | --- | --- |",
    ]
    for verdict in verdicts:
        guard = verdict.guard
        mark = "*" if guard.state else ""
        cells = [f"`{guard.label}`{mark}", guard.page, failures_as_text(verdict, "`", "<br>"), verdict.text]
        lines.append("| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |")
    return "\n".join(lines) + "\n"


def failures_as_text(verdict: Verdict, quote: str, separator: str) -> str:
    """The failed tests, the named ones first; many are counted."""
    shown = [f"{quote}{name}{quote}" for name in verdict.failed[:LISTED_TESTS]]
    more = len(verdict.failed) - len(shown)
    if more > 0:
        shown.append(f"and {more} more")
    return separator.join([*shown, *verdict.broken_targets]) or "none"


def print_verdict(verdict: Verdict) -> None:
    """Tells of one guard as soon as it has been tried."""
    print(f"{verdict.guard.label}: {verdict.text} ({verdict.seconds:.0f} s)", flush=True)
    print(f"    {verdict.guard.page}")
    print(f"    failed: {failures_as_text(verdict, '', ', ')}", flush=True)


# --- Workers -------------------------------------------------------------------------------------------------------


class Run:
    """Tries all guards, each worker with a scratch copy of its own."""

    def __init__(
        self, guards: list[Guard], tracked: list[str], limit_s: float, named_only: bool, markdown: Path | None
    ) -> None:
        self.markdown = markdown
        self.guards = guards
        self.tracked = tracked
        self.chosen = {guard.label: programs_of(guard, tracked) if named_only else () for guard in guards}
        self.limit_s = limit_s
        self.lock = threading.Lock()
        self.outcomes: dict[str, Outcome] = {}
        self.unchanged = Outcome(compiled=True)
        self.errors: list[BaseException] = []
        self.left: queue.SimpleQueue[Guard] = queue.SimpleQueue()
        # Guards of the same packages and file one after the other: less is built.
        for guard in sorted(guards, key=lambda guard: (guard.packages, guard.file)):
            self.left.put(guard)

    def run(self, jobs: int) -> list[Verdict]:
        """Tries each guard; verdicts in the order of the lists."""
        workers = [threading.Thread(target=self.work, args=(number + 1,), daemon=True) for number in range(jobs)]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        if self.errors:
            raise self.errors[0]
        return self.verdicts()

    def verdicts(self) -> list[Verdict]:
        """Verdicts of the guards tried so far, in the order of the lists."""
        tried = [guard for guard in self.guards if guard.label in self.outcomes]
        return [judge(guard, self.outcomes[guard.label], self.unchanged) for guard in tried]

    def try_unchanged(self) -> None:
        """Runs the tests on the unchanged code: what fails there counts for no guard."""
        first = ScratchCopy(1)
        first.refresh(self.tracked)
        packages = tuple(sorted({package for guard in self.guards for package in guard.packages}))
        print(f"unchanged: tests of {', '.join(packages)}", flush=True)
        programs: set[str] = set().union(*self.chosen.values()) if all(self.chosen.values()) else set()
        limit_s = self.limit_s * len(packages)
        self.unchanged = first.run_tests("unchanged", packages, tuple(sorted(programs)), limit_s)
        if not self.unchanged.compiled:
            raise ListError(f"the unchanged code does not compile, see {first.logs / 'unchanged.log'}")
        for name in sorted(self.unchanged.failed) + self.unchanged.broken_targets:
            print(f"fails without any change, and counts for no guard: {name}", flush=True)

    def work(self, number: int) -> None:
        """Takes guards until none is left."""
        try:
            copy = ScratchCopy(number)
            copy.refresh(self.tracked)
            while True:
                guard = self.left.get_nowait()
                outcome = copy.try_without(guard, self.chosen[guard.label], self.limit_s)
                with self.lock:
                    self.outcomes[guard.label] = outcome
                    print_verdict(judge(guard, outcome, self.unchanged))
                    # As it stands, so that a run which is broken off leaves what it found.
                    if self.markdown:
                        self.markdown.write_text(as_markdown(self.verdicts(), len(self.guards)), encoding="utf-8")
        except queue.Empty:
            return
        except BaseException as error:  # handed to the thread that waits
            self.errors.append(error)


def parse_arguments() -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", action="append", metavar="NAME", help="this guard only; may be repeated")
    parser.add_argument("--area", action="append", metavar="FILE", help="guards of this list only; may be repeated")
    parser.add_argument("--jobs", type=int, default=2, help="guards tried at a time (default 2)")
    parser.add_argument("--limit", type=float, default=DEFAULT_TEST_LIMIT_S, help="seconds for a guard's tests")
    parser.add_argument(
        "--named", action="store_true", help="build and run only the test programs that hold the named tests: quicker"
    )
    parser.add_argument(
        "--skip-unchanged", action="store_true", help="do not run the tests on the unchanged code first"
    )
    parser.add_argument("--markdown", type=Path, metavar="FILE", help="write the table there")
    parser.add_argument("--list", action="store_true", help="print the guards and end")
    parser.add_argument("--check", action="store_true", help="check only that the lists fit the code")
    return parser.parse_args()


def chosen_lists(areas: list[str] | None) -> list[Path]:
    """The lists of some areas, by file name with or without the ending; all lists without areas."""
    lists = sorted(HERE.glob("*.toml"))
    if not areas:
        return lists
    stems = {Path(area).stem for area in areas}
    unknown = sorted(stems - {path.stem for path in lists})
    if unknown:
        raise ListError(f"no such list: {', '.join(unknown)}")
    return [path for path in lists if path.stem in stems]


def hold_scratch() -> TextIO:
    """Keeps other runs away from the scratch copies until the file is closed."""
    SCRATCH.mkdir(parents=True, exist_ok=True)
    lock = (SCRATCH / "lock").open("w", encoding="utf-8")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        raise ListError(f"another run uses {SCRATCH}") from None
    return lock


def main() -> int:
    """Runs the script; its exit code."""
    arguments = parse_arguments()
    tracked = tracked_files()
    guards = read_guards(chosen_lists(arguments.area))
    if arguments.only:
        unknown = sorted(set(arguments.only) - {guard.name for guard in guards})
        if unknown:
            raise ListError(f"no such guard: {', '.join(unknown)}")
        guards = [guard for guard in guards if guard.name in arguments.only]
    if arguments.list:
        for guard in guards:
            print(f"{guard.label}\t{guard.file}\t{guard.page}")
        return 0
    problems = check_guards(guards, tracked)
    if problems:
        raise ListError("\n".join(problems))
    if arguments.check:
        print(f"{len(guards)} guards fit the code")
        for guard in guards:
            if not guard.tests:
                print(f"{guard.label}: held by no test that the list names")
        return 0
    if not guards:
        raise ListError("there are no guards to try")
    with hold_scratch():
        run = Run(guards, tracked, arguments.limit, arguments.named, arguments.markdown)
        if not arguments.skip_unchanged:
            run.try_unchanged()
        verdicts = run.run(arguments.jobs)
    print(f"{sum(verdict.caught for verdict in verdicts)} of {len(verdicts)} guards caught")
    return 0 if all(verdict.caught for verdict in verdicts) else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except ListError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    except KeyboardInterrupt:
        RUNNING.end_all()
        sys.exit(130)
