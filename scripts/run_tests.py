"""Run ruff, mypy, import-linter and nose2; the last line is ``N passed, N failed``.

A test listed in KNOWN-RED.txt may fail without failing the run; it is printed as known red and is
not counted as passed. Each entry is one line of four fields: ``what | command and seed | what was
seen | issue N``. What is red is a test by its id, or "play ..." for a play of the bench. A
line of another form, a test that doesn't exist and an entry that stands twice fail the run.
"""

import re
import subprocess
import sys
from pathlib import Path

import attrs
from nose2.events import Plugin, TestOutcomeEvent
from nose2.main import PluggableTestProgram
from nose2.result import SUBTEST

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
PLAY = "play "
SEPARATOR = " | "
_ISSUE = re.compile(r"issue [0-9]+")
_TEST_ID = re.compile(r"tests(\.\w+)+")


@attrs.frozen
class KnownRed:
    """One entry of KNOWN-RED.txt: what is red, how to see it, what was seen, and its issue."""

    what: str
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> tuple[list[KnownRed], list[str]]:
    """Return the valid entries of KNOWN-RED.txt, and a problem for each other line."""
    entries: list[KnownRed] = []
    problems: list[str] = []
    for line in text.splitlines():
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if not line.strip():
            continue
        if len(fields) != len(attrs.fields(KnownRed)) or not all(fields):
            problems.append(f"not four fields: {line}")
            continue
        entry = KnownRed(*fields)
        if not _ISSUE.fullmatch(entry.issue):
            problems.append(f"the last field is no issue: {line}")
        elif not (entry.what.startswith(PLAY) or _TEST_ID.fullmatch(entry.what)):
            problems.append(f"neither a test nor a play: {line}")
        elif entry.what in {known.what for known in entries}:
            problems.append(f"stands twice: {line}")
        else:
            entries.append(entry)
    return entries, problems


def missing_tests(entries: list[KnownRed], ran: set[str]) -> list[str]:
    """Return the tests of the entries that don't exist, judged by those that ran."""
    return [e.what for e in entries if not e.what.startswith(PLAY) and e.what not in ran]


def check_style() -> int:
    """Run the formatter's check, the linters and the type checker; return how many failed."""
    ruff = [sys.executable, "-m", "ruff"]
    commands = (
        [*ruff, "format", "--check", "."],
        [*ruff, "check", "."],
        [sys.executable, "-m", "mypy"],
        [str(Path(sys.executable).with_name("lint-imports")), "--no-cache"],
    )
    return sum(subprocess.run(command, cwd=ROOT).returncode != 0 for command in commands)


class OutcomeCollector(Plugin):
    """Collects the outcome of each test as nose2 reports it."""

    def __init__(self) -> None:
        self.passed: set[str] = set()
        self.broken: set[str] = set()

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802 - nose2 calls it so
        """Take one outcome; anything but the expected pass or a skip is broken.

        A subtest is reported by itself, whole or with its exception; a test with a broken
        one is never reported as passed.
        """
        name = event.test.id()
        if event.outcome == SUBTEST and event.exc_info is None:
            return
        if event.outcome == "passed" and event.expected:
            self.passed.add(name)
        elif event.outcome != "skipped":
            self.broken.add(name)


def run_tests(arguments: list[str]) -> tuple[set[str], list[str]]:
    """Run nose2 in this process; return the names of the passed and of the failed tests."""
    collector = OutcomeCollector()
    PluggableTestProgram(
        module=None,
        argv=["nose2", "-s", "tests", "-t", ".", *arguments],
        exit=False,
        extraHooks=[("testOutcome", collector)],
    )
    return collector.passed - collector.broken, sorted(collector.broken)


def main() -> int:
    """Run everything; exit 1 on any failure that is not known red."""
    text = KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else ""
    entries, problems = read_known_red(text)
    style_failures = check_style()
    passed, broken = run_tests(sys.argv[1:])
    if not sys.argv[1:]:
        missing = missing_tests(entries, passed | set(broken))
        problems += [f"no such test: {name}" for name in missing]
    for entry in entries:
        print(f"known red: {SEPARATOR.join(attrs.astuple(entry))}")
    red_names = {entry.what for entry in entries}
    real = [name for name in broken if name not in red_names]
    for name in real:
        print(f"failed: {name}")
    for problem in problems:
        print(f"KNOWN-RED.txt: {problem}")
    failed = len(real) + len(problems) + style_failures
    sys.stdout.flush()
    print(f"{len(passed)} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
