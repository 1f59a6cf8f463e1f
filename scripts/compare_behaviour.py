"""Compare what the checkout does with what an earlier revision did, to the byte.

    scripts/compare_behaviour.py REVISION [--only WORD] [--jobs N]

For whoever refactors: simulated runs draw from seeded generators, so that a change that leaves
the behaviour alone leaves every table and every trace equal. The revision is checked out under
``target/behaviour``; its outputs are kept there and made once. Exit status: 0 when everything is
equal, 1 when something differs, with the command that shows the first difference.

The cases: tables of ``rooklug-lab policy run`` on emulated sites with faults, and traces
(``trace_behaviour.py``) of ``sim``, ``gateway``, the core's random faults and its explorer.
"""

import argparse
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from hashlib import sha256
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parent.parent
TRACE_SCRIPT = Path(__file__).resolve().with_name("trace_behaviour.py")
KEPT = ROOT / "target" / "behaviour"

TRACES = (
    "core 1",
    "core 2",
    "core 5",
    "replacements 1",
    "replacements 4",
    "explorer 1 1 1 0",
    "explorer 1 1 0 1",
    "sim kill-primary 1 payroll",
    "sim kill-zone 2 quiz",
    "gateway control_is_killed 1",
    "gateway region_is_lost 3",
    "gateway replicas_lie 2",
    "gateway zone_returns_cold 4",
    "gateway random_day 217",
    "gateway random_day 218",
)
POLICY_RUNS = (
    "three-regions replicas_lie 1",
    "two-regions all_lose_power 2",
    "small zone_returns_cold 3",
)


@attrs.frozen
class Case:
    """One command and the name that its kept output has."""

    name: str
    command: tuple[str, ...]


@attrs.frozen
class Difference:
    """The first line in which two outputs of a case differ; lines count from 0."""

    line: int
    before: str
    after: str


def cases(wanted: str) -> list[Case]:
    """Return the cases whose name contains ``wanted``."""
    python = str(ROOT / ".venv" / "bin" / "python")
    traces = [Case(name, (python, str(TRACE_SCRIPT), *name.split())) for name in TRACES]
    tables = [_policy_case(python, *run.split()) for run in POLICY_RUNS]
    return [case for case in (*traces, *tables) if wanted in case.name]


def _policy_case(python: str, site: str, day: str, seed: str) -> Case:
    command = (python, "-m", "rooklug_lab.cli", "policy", "run", "--json", "--workers", "1")
    chosen = ("--site", site, "--day", day, "--seeds", f"{seed}-{seed}")
    return Case(f"policy {site} {day} {seed}", (*command, *chosen))


def run_case(case: Case, checkout: Path) -> str:
    """Return what a case prints in a checkout; a failed run is part of the output."""
    environment = os.environ | {"PYTHONPATH": str(checkout), "PYTHONHASHSEED": "0"}
    done = subprocess.run(
        case.command, cwd=checkout, env=environment, capture_output=True, text=True
    )
    failure = f"exit status {done.returncode}: {done.stderr}" if done.returncode else ""
    return done.stdout + failure


def kept_output(case: Case, revision: str) -> str:
    """Return the revision's output of a case, made now if it isn't kept yet.

    Outputs depend on the tables of ``trace_behaviour.py``, so each text of it has its own.
    """
    tables = sha256(TRACE_SCRIPT.read_bytes()).hexdigest()[:12]
    kept = KEPT / revision / tables / f"{case.name.replace(' ', '_')}.txt"
    kept.parent.mkdir(exist_ok=True)
    if not kept.exists():
        kept.write_text(run_case(case, KEPT / revision / "checkout"))
    return kept.read_text()


def check_out(revision: str) -> str:
    """Check the revision out under ``KEPT`` unless it is there; return its full name."""
    git = ["git", "-C", str(ROOT)]
    found = subprocess.run(
        [*git, "rev-parse", f"{revision}^{{commit}}"], check=True, capture_output=True, text=True
    )
    commit = found.stdout.strip()
    checkout = KEPT / commit / "checkout"
    if not checkout.exists():
        checkout.parent.mkdir(parents=True, exist_ok=True)
        subprocess.run([*git, "worktree", "add", "--detach", str(checkout), commit], check=True)
    return commit


def first_difference(before: str, after: str) -> Difference | None:
    """Return where two outputs part, None when they are equal."""
    if before == after:
        return None
    one, two = before.splitlines(), after.splitlines()
    length = max(len(one), len(two))
    one += [""] * (length - len(one))
    two += [""] * (length - len(two))
    line = next(index for index in range(length) if one[index] != two[index])
    return Difference(line, one[line], two[line])


def _compare(case: Case, revision: str) -> bool:
    difference = first_difference(kept_output(case, revision), run_case(case, ROOT))
    if difference is None:
        print(f"equal    {case.name}", flush=True)
        return True
    print(f"DIFFERS  {case.name}, from output line {difference.line} on")
    print(f"  before: {difference.before[:300]}")
    print(f"  after:  {difference.after[:300]}")
    if case.name in TRACES:
        print(f"  to see the events: trace_behaviour.py {case.name} --show LINE")
    sys.stdout.flush()
    return False


def main() -> int:
    """Compare every case; return 1 if one differs."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("revision")
    parser.add_argument("--only", default="", metavar="WORD", help="cases with this in their name")
    parser.add_argument("--jobs", type=int, default=6)
    options = parser.parse_args()
    revision = check_out(options.revision)
    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda case: _compare(case, revision), cases(options.only)))
    print(f"{sum(results)} of {len(results)} cases are equal to {revision[:7]}")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
