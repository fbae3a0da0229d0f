#!/usr/bin/env python3
"""Removes guards from the code, one at a time, and reports which tests fail without them.

Each `*.toml` file in this directory lists the guards of one area. README.md describes the format and the results.
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

BUILD_TIMEOUT_S = 1800.0
DEFAULT_TEST_TIMEOUT_S = 240.0
"""Time limit for all tests of one guard together; `--limit` overrides it."""
MAX_LISTED_TESTS = 6
"""Failed tests that a table row lists by name; the remaining ones are only counted."""

CARGO_SETTINGS = {
    "CARGO_PROFILE_DEV_DEBUG": "0",
    "CARGO_INCREMENTAL": "0",
    "CARGO_TERM_COLOR": "never",
    # A snapshot that differs fails the test; insta must not write a pending snapshot or accept it.
    "INSTA_UPDATE": "no",
    "INSTA_FORCE_PASS": "0",
}


class ListError(Exception):
    """Guards cannot be tested: a list is malformed or does not match the code, or another run is in progress."""


@dataclass(frozen=True)
class Guard:
    """A safeguard in the code, the replacement that removes it, and the tests that must then fail."""

    name: str
    page: str
    file: str
    find: str
    replace: str
    packages: tuple[str, ...]
    tests: tuple[str, ...]
    state: bool
    area: str
    """Name of the list file without its extension."""

    @property
    def label(self) -> str:
        """Area and name, unique across all lists."""
        return f"{self.area}/{self.name}"


@dataclass
class Outcome:
    """The test results of one build."""

    compiled: bool
    failed: set[str] = field(default_factory=set)
    """Names, without module paths, of the tests that failed or did not finish."""
    broken_programs: list[str] = field(default_factory=list)
    """Test programs that timed out or exited with an error without naming a failed test."""
    seconds: float = 0.0


@dataclass(frozen=True)
class Verdict:
    """The result for one guard: one row of the table."""

    guard: Guard
    failed: tuple[str, ...]
    broken_programs: tuple[str, ...]
    status: str
    caught: bool
    seconds: float


# --- Lists ---------------------------------------------------------------------------------------------------------


def read_guards(lists: list[Path]) -> list[Guard]:
    """Reads lists of guards; raises `ListError` if an entry is malformed or a list has two guards of one name."""
    guards: list[Guard] = []
    for path in lists:
        entries = tomllib.loads(path.read_text(encoding="utf-8")).get("guard", [])
        guards += [read_guard(entry, path) for entry in entries]
    labels = [guard.label for guard in guards]
    for label in sorted({label for label in labels if labels.count(label) > 1}):
        raise ListError(f"{label}: defined more than once")
    return guards


def read_guard(entry: dict[str, object], path: Path) -> Guard:
    name = entry.get("name")

    def text(key: str) -> str:
        value = entry.get(key)
        if not isinstance(value, str) or (not value and key != "replace"):
            raise ListError(f"{path.name}: {name}: `{key}` must be a string; only `replace` may be empty")
        return value

    def texts(key: str) -> tuple[str, ...]:
        value = entry.get(key)
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise ListError(f"{path.name}: {name}: `{key}` must be a list of strings")
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
    """Returns one message for each entry that does not match the code."""
    sources = {name: read_text(name) for name in tracked if name.endswith(".rs")}
    functions = set(re.findall(r"\bfn\s+(\w+)", "\n".join(sources.values())))
    manifests = [read_text(name) for name in tracked if name.endswith("Cargo.toml")]
    packages = {tomllib.loads(text).get("package", {}).get("name") for text in manifests}
    problems = []
    for guard in guards:
        if not guard.packages:
            problems.append(f"{guard.label}: `packages` is empty")
        label = guard.label
        count = sources.get(guard.file, "").count(guard.find)
        if guard.file not in sources:
            problems.append(f"{label}: {guard.file} is not a Rust source file of the repository")
        elif count != 1:
            problems.append(f"{label}: `find` occurs {count} times in {guard.file}, expected once")
        if guard.find == guard.replace:
            problems.append(f"{label}: `replace` is the same as `find`")
        problems += [f"{label}: package {name} does not exist" for name in guard.packages if name not in packages]
        problems += [f"{label}: test {name} does not exist" for name in guard.tests if name not in functions]
    return problems


def test_programs_of(guard: Guard, tracked: list[str]) -> tuple[str, ...]:
    """The integration test programs (file stems) that contain the tests of a guard.

    Empty if one of the tests is not in a file `tests/*.rs`: then all test programs of the packages must run.
    """
    programs: set[str] = set()
    for name in guard.tests:
        wanted = re.compile(rf"\bfn\s+{re.escape(name)}\b")
        holders = {path for path in tracked if path.endswith(".rs") and wanted.search(read_text(path))}
        if not holders or any(Path(path).parent.name != "tests" for path in holders):
            return ()
        programs |= {Path(path).stem for path in holders}
    return tuple(sorted(programs))


def tracked_files() -> list[str]:
    """Files that git tracks, and untracked files that it does not ignore, without the journal."""
    command = ["git", "ls-files", "-z", "--cached", "--others", "--exclude-standard", "--", ".", ":!journal"]
    listed = subprocess.run(command, cwd=REPOSITORY, check=True, capture_output=True)
    names = sorted(set(listed.stdout.decode().split("\0")) - {""})
    return [name for name in names if (REPOSITORY / name).is_file()]


def read_text(name: str) -> str:
    """Reads a file of the repository."""
    return (REPOSITORY / name).read_text(encoding="utf-8")


# --- Scratch copies ------------------------------------------------------------------------------------------------


class ScratchCopy:
    """A copy of the repository with its own target directory. It is kept between runs to reuse build results."""

    def __init__(self, number: int) -> None:
        self.directory = SCRATCH / f"worker-{number}"
        self.source = self.directory / "source"
        self.logs = SCRATCH / "logs"
        self.environment = os.environ | CARGO_SETTINGS | {"CARGO_TARGET_DIR": str(self.directory / "target")}

    def refresh(self, tracked: list[str]) -> None:
        """Copies the repository's files. Equal files are not written again, so that cargo does not rebuild them."""
        self.logs.mkdir(parents=True, exist_ok=True)
        for name in tracked:
            content, path = (REPOSITORY / name).read_bytes(), self.source / name
            if not path.is_file() or path.read_bytes() != content:
                path.parent.mkdir(parents=True, exist_ok=True)
                path.write_bytes(content)
        wanted = {self.source / name for name in tracked}
        for path in [path for path in self.source.rglob("*") if path.is_file() and path not in wanted]:
            path.unlink()

    def test_without(self, guard: Guard, selected: tuple[str, ...], timeout_s: float) -> Outcome:
        """Runs the tests with the guard removed, then restores it. Runs all test programs if none is selected."""
        path = self.source / guard.file
        original = path.read_text(encoding="utf-8")
        # Both writes update the modification time of the file, by which cargo detects the change.
        path.write_text(original.replace(guard.find, guard.replace), encoding="utf-8")
        try:
            return self.run_tests(guard.label.replace("/", "."), guard.packages, selected, timeout_s)
        finally:
            path.write_text(original, encoding="utf-8")

    def run_tests(
        self, name: str, packages: tuple[str, ...], selected: tuple[str, ...], timeout_s: float
    ) -> Outcome:
        """Builds the packages and runs the selected test programs, or all. The time limit covers all runs together."""
        started = time.monotonic()
        with (self.logs / f"{name}.log").open("w", encoding="utf-8") as log:
            programs = self.build(packages, selected, log)
            if programs is None:
                return Outcome(compiled=False, seconds=time.monotonic() - started)
            outcome = Outcome(compiled=True)
            deadline = time.monotonic() + timeout_s
            for program in programs:
                self.run_program(program, deadline, outcome, log)
        outcome.seconds = time.monotonic() - started
        return outcome

    def build(self, packages: tuple[str, ...], selected: tuple[str, ...], log: TextIO) -> list[TestProgram] | None:
        """Builds the selected test programs, or all of them; `None` if the build fails or times out."""
        command = ["cargo", "test", "--locked", "--no-run", "--message-format=json-render-diagnostics"]
        command += [argument for package in packages for argument in ("-p", package)]
        command += [argument for program in selected for argument in ("--test", program)]
        result = run_with_timeout(command, self.source, self.environment, BUILD_TIMEOUT_S)
        log.write(result.errors)
        if result.code != 0:
            return None
        messages = [json.loads(line) for line in result.output.splitlines() if line.startswith("{")]
        return [
            TestProgram(message["target"]["name"], message["executable"], Path(message["manifest_path"]).parent)
            for message in messages
            if message.get("reason") == "compiler-artifact" and message["executable"] and message["profile"]["test"]
        ]

    def run_program(self, program: TestProgram, deadline: float, outcome: Outcome, log: TextIO) -> None:
        """Runs one test program and adds its failures to the outcome."""
        remaining_s = max(deadline - time.monotonic(), 1.0)
        environment = self.environment | {"CARGO_MANIFEST_DIR": str(program.package)}
        result = run_with_timeout([program.path], program.package, environment, remaining_s)
        log.write(f"--- {program.name}\n{result.output}\n{result.errors}\n")
        failed = failed_tests(result.output)
        if result.code is None:
            outcome.broken_programs.append(f"{program.name} (timed out after {remaining_s:.0f} s)")
            failed |= unfinished_tests(result.output)
        elif result.code != 0 and not failed:
            outcome.broken_programs.append(f"{program.name} (exited with code {result.code})")
        outcome.failed |= failed


@dataclass(frozen=True)
class TestProgram:
    """A compiled test program and the directory of its package."""

    name: str
    path: str
    package: Path


@dataclass(frozen=True)
class ProcessResult:
    """Exit code and output of a program. The code is `None` if the program timed out."""

    code: int | None
    output: str
    errors: str


class RunningProcesses:
    """Programs that are running, so that they can be killed when the script is interrupted."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.programs: set[subprocess.Popen[str]] = set()

    def kill_all(self) -> None:
        """Kills all running programs and their child processes."""
        with self.lock:
            for program in self.programs:
                kill_process_group(program)


RUNNING_PROCESSES = RunningProcesses()


def kill_process_group(program: subprocess.Popen[str]) -> None:
    """Kills a program and its child processes."""
    try:
        os.killpg(program.pid, signal.SIGKILL)
    except ProcessLookupError:
        pass


def run_with_timeout(
    command: list[str], directory: Path, environment: dict[str, str], timeout_s: float
) -> ProcessResult:
    """Runs a program and kills it, with its child processes, if it does not exit within the limit."""
    program = subprocess.Popen(
        command,
        cwd=directory,
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        start_new_session=True,
        text=True,
        errors="replace",
    )
    with RUNNING_PROCESSES.lock:
        RUNNING_PROCESSES.programs.add(program)
    try:
        output, errors = program.communicate(timeout=timeout_s)
        return ProcessResult(program.returncode, output, errors)
    except subprocess.TimeoutExpired:
        kill_process_group(program)
        output, errors = program.communicate()
        return ProcessResult(None, output, errors)
    finally:
        with RUNNING_PROCESSES.lock:
            RUNNING_PROCESSES.programs.discard(program)


# --- Results -------------------------------------------------------------------------------------------------------

RESULT_LINE = re.compile(r"^test (\S+)(?: - should panic)? \.\.\. (ok|FAILED|ignored)", re.MULTILINE)
LISTED_FAILURES = re.compile(r"^failures:\n((?:    \S+\n)+)", re.MULTILINE)
LONG_RUNNING = re.compile(r"^test (\S+) has been running for over \d+ seconds", re.MULTILINE)


def base_name(path: str) -> str:
    """The name of a test without its module path."""
    return path.rsplit("::", 1)[-1]


def failed_tests(output: str) -> set[str]:
    """Tests that failed, from the result line of each test and from the list of failures at the end."""
    by_line = [name for name, result in RESULT_LINE.findall(output) if result == "FAILED"]
    by_list = [name for block in LISTED_FAILURES.findall(output) for name in block.split()]
    return {base_name(name) for name in by_line + by_list}


def unfinished_tests(output: str) -> set[str]:
    """Tests that the harness reported as running for long and that have no result."""
    finished = {name for name, _ in RESULT_LINE.findall(output)}
    return {base_name(name) for name in LONG_RUNNING.findall(output) if name not in finished}


def judge(guard: Guard, outcome: Outcome, unchanged: Outcome) -> Verdict:
    """Derives the verdict. Tests that also fail on the unchanged code are ignored."""
    failed = outcome.failed - unchanged.failed
    broken = [program for program in outcome.broken_programs if program not in unchanged.broken_programs]
    missing = [name for name in guard.tests if name not in failed]
    if not outcome.compiled:
        status = "does not compile"
    elif not failed and not broken:
        status = "not caught"
    elif missing:
        status = "named test did not fail: " + ", ".join(missing)
    else:
        status = "caught"
    others = sorted(failed.difference(guard.tests))
    named = [name for name in guard.tests if name in failed]
    return Verdict(guard, tuple(named + others), tuple(broken), status, status == "caught", outcome.seconds)


def format_markdown(verdicts: list[Verdict], total: int) -> str:
    """The table of verdicts for the documentation."""
    caught = sum(verdict.caught for verdict in verdicts)
    lines = [
        "# Guard removal results",
        "",
        f"`tools/guards/run.py` removed {len(verdicts)} of {total} guards, one at a time; {caught} removals were caught"
        " by all tests that their lists name. Guards marked with * protect the safety of stored or replicated state.",
        "",
        "| guard | rules out | tests that failed without it | verdict |",
        "| --- | --- | --- | --- |",
    ]
    for verdict in verdicts:
        guard = verdict.guard
        mark = "*" if guard.state else ""
        cells = [f"`{guard.label}`{mark}", guard.page, format_failures(verdict, "`", "<br>"), verdict.status]
        lines.append("| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |")
    return "\n".join(lines) + "\n"


def format_failures(verdict: Verdict, quote: str, separator: str) -> str:
    """The failed tests, those that the list names first. Tests beyond the limit are only counted."""
    shown = [f"{quote}{name}{quote}" for name in verdict.failed[:MAX_LISTED_TESTS]]
    more = len(verdict.failed) - len(shown)
    if more > 0:
        shown.append(f"and {more} more")
    return separator.join([*shown, *verdict.broken_programs]) or "none"


def print_verdict(verdict: Verdict) -> None:
    """Prints the verdict on one guard."""
    print(f"{verdict.guard.label}: {verdict.status} ({verdict.seconds:.0f} s)", flush=True)
    print(f"    {verdict.guard.page}")
    print(f"    failed: {format_failures(verdict, '', ', ')}", flush=True)


# --- Workers -------------------------------------------------------------------------------------------------------


class GuardRun:
    """Tests all guards with several workers, each in its own scratch copy."""

    def __init__(
        self, guards: list[Guard], tracked: list[str], timeout_s: float, named_only: bool, markdown: Path | None
    ) -> None:
        self.markdown = markdown
        self.guards = guards
        self.tracked = tracked
        self.selected = {guard.label: test_programs_of(guard, tracked) if named_only else () for guard in guards}
        self.timeout_s = timeout_s
        self.lock = threading.Lock()
        self.outcomes: dict[str, Outcome] = {}
        self.unchanged = Outcome(compiled=True)
        self.errors: list[BaseException] = []
        self.pending: queue.SimpleQueue[Guard] = queue.SimpleQueue()
        # Testing guards of the same packages and file one after the other reduces rebuilds.
        for guard in sorted(guards, key=lambda guard: (guard.packages, guard.file)):
            self.pending.put(guard)

    def run(self, jobs: int) -> list[Verdict]:
        """Tests all guards and returns the verdicts in the order of the lists."""
        workers = [threading.Thread(target=self.work, args=(number + 1,), daemon=True) for number in range(jobs)]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        if self.errors:
            raise self.errors[0]
        return self.verdicts()

    def verdicts(self) -> list[Verdict]:
        """Verdicts on the guards tested so far, in the order of the lists."""
        tried = [guard for guard in self.guards if guard.label in self.outcomes]
        return [judge(guard, self.outcomes[guard.label], self.unchanged) for guard in tried]

    def test_unchanged(self) -> None:
        """Runs the tests on the unchanged code. Tests that fail there are ignored in the verdicts."""
        first = ScratchCopy(1)
        first.refresh(self.tracked)
        packages = tuple(sorted({package for guard in self.guards for package in guard.packages}))
        print(f"unchanged: tests of {', '.join(packages)}", flush=True)
        programs: set[str] = set().union(*self.selected.values()) if all(self.selected.values()) else set()
        timeout_s = self.timeout_s * len(packages)
        self.unchanged = first.run_tests("unchanged", packages, tuple(sorted(programs)), timeout_s)
        if not self.unchanged.compiled:
            raise ListError(f"the unchanged code does not compile, see {first.logs / 'unchanged.log'}")
        for name in sorted(self.unchanged.failed) + self.unchanged.broken_programs:
            print(f"fails on the unchanged code, ignored in all verdicts: {name}", flush=True)

    def work(self, number: int) -> None:
        """Tests guards from the queue until it is empty."""
        try:
            copy = ScratchCopy(number)
            copy.refresh(self.tracked)
            while True:
                guard = self.pending.get_nowait()
                outcome = copy.test_without(guard, self.selected[guard.label], self.timeout_s)
                with self.lock:
                    self.outcomes[guard.label] = outcome
                    print_verdict(judge(guard, outcome, self.unchanged))
                    # Written after each guard, so that an interrupted run keeps its results.
                    if self.markdown:
                        self.markdown.write_text(format_markdown(self.verdicts(), len(self.guards)), encoding="utf-8")
        except queue.Empty:
            return
        except BaseException as error:  # raised again by the main thread
            self.errors.append(error)


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", action="append", metavar="NAME", help="test only this guard; may be repeated")
    parser.add_argument("--area", action="append", metavar="FILE", help="test only this list; may be repeated")
    parser.add_argument("--jobs", type=int, default=2, help="guards tested in parallel (default 2)")
    parser.add_argument(
        "--limit", type=float, default=DEFAULT_TEST_TIMEOUT_S, help="time limit in seconds for the tests of one guard"
    )
    parser.add_argument(
        "--named", action="store_true", help="build and run only the test programs with the named tests (faster)"
    )
    parser.add_argument(
        "--skip-unchanged", action="store_true", help="do not run the tests on the unchanged code first"
    )
    parser.add_argument("--markdown", type=Path, metavar="FILE", help="write the table of verdicts to this file")
    parser.add_argument("--list", action="store_true", help="print the guards and exit")
    parser.add_argument("--check", action="store_true", help="only check that the lists match the code")
    return parser.parse_args()


def selected_lists(areas: list[str] | None) -> list[Path]:
    """The lists of the given areas (file names with or without extension), or all lists if none is given."""
    lists = sorted(HERE.glob("*.toml"))
    if not areas:
        return lists
    stems = {Path(area).stem for area in areas}
    unknown = sorted(stems - {path.stem for path in lists})
    if unknown:
        raise ListError(f"no such list: {', '.join(unknown)}")
    return [path for path in lists if path.stem in stems]


def lock_scratch() -> TextIO:
    """Locks the scratch copies against other runs until the returned file is closed."""
    SCRATCH.mkdir(parents=True, exist_ok=True)
    lock = (SCRATCH / "lock").open("w", encoding="utf-8")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        raise ListError(f"another run uses {SCRATCH}") from None
    return lock


def main() -> int:
    """Returns the exit code; README.md describes it."""
    arguments = parse_arguments()
    tracked = tracked_files()
    guards = read_guards(selected_lists(arguments.area))
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
        print(f"{len(guards)} guards match the code")
        for guard in guards:
            if not guard.tests:
                print(f"{guard.label}: no test is listed that detects its removal")
        return 0
    if not guards:
        raise ListError("there are no guards to test")
    with lock_scratch():
        run = GuardRun(guards, tracked, arguments.limit, arguments.named, arguments.markdown)
        if not arguments.skip_unchanged:
            run.test_unchanged()
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
        RUNNING_PROCESSES.kill_all()
        sys.exit(130)
