"""Run ruff, mypy, import-linter and nose2; the last line is ``N passed, N failed``.

A test listed in KNOWN-RED.txt (``test: cause: issue``, three lines at most) may fail
without failing the run; it is printed as known red and is not counted as passed.
"""

import subprocess
import sys
from pathlib import Path

from nose2.events import Plugin, TestOutcomeEvent
from nose2.main import PluggableTestProgram
from nose2.result import SUBTEST

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3


def known_red() -> list[str]:
    """Return the lines of KNOWN-RED.txt."""
    if not KNOWN_RED_FILE.exists():
        return []
    return [line for line in KNOWN_RED_FILE.read_text().splitlines() if line.strip()]


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


def run_tests(arguments: list[str]) -> tuple[int, list[str]]:
    """Run nose2 in this process; return how many passed, and the names of the failed."""
    collector = OutcomeCollector()
    PluggableTestProgram(
        module=None,
        argv=["nose2", "-s", "tests", "-t", ".", *arguments],
        exit=False,
        extraHooks=[("testOutcome", collector)],
    )
    return len(collector.passed - collector.broken), sorted(collector.broken)


def main() -> int:
    """Run everything; exit 1 on any failure that is not known red."""
    red_lines = known_red()
    red_names = [line.split(":", 1)[0].strip() for line in red_lines]
    style_failures = check_style()
    passed, broken = run_tests(sys.argv[1:])
    for line in red_lines:
        print(f"known red: {line}")
    real = [name for name in broken if name not in red_names]
    for name in real:
        print(f"failed: {name}")
    failed = len(real) + style_failures
    if len(red_lines) > KNOWN_RED_LIMIT:
        print(f"KNOWN-RED.txt has {len(red_lines)} lines, at most {KNOWN_RED_LIMIT} may stand")
        failed += 1
    sys.stdout.flush()
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
