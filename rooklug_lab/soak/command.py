"""``rooklug-lab soak``: real processes, overlapping seeded events, judged by the users' rules."""

import argparse
import asyncio
import json
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any

import attrs
import cattrs

from rooklug_lab.soak.director import Soak, SoakSettings
from rooklug_lab.soak.ledger import Ledger
from rooklug_lab.soak.oracles import judge

DEFAULT_SECONDS = 60.0
DEFAULT_MACHINES = 3
MAX_MACHINES = 60
"""Two processes a machine and their memory stay within the limits of one computer."""
SHOWN_PROBLEMS = 5


@attrs.frozen
class SoakResult:
    """The violations by oracle, and what a soak saw."""

    broken: dict[str, list[str]]
    ledger: Ledger
    plan: list[Any]


def add_soak_command(commands: argparse._SubParsersAction) -> None:
    """Add the subcommand ``soak`` and its arguments to the parser of ``rooklug-lab``."""
    parser = commands.add_parser("soak", help="real processes under overlapping seeded events")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="of events")
    parser.add_argument("--machines", type=int, default=DEFAULT_MACHINES)
    parser.add_argument("--report", type=Path, help="file for plan, ledger and logs, as JSON")
    parser.add_argument("--quiet", action="store_true", help="print only the verdict")
    parser.set_defaults(run=run_soak)


def run_soak(arguments: argparse.Namespace) -> int:
    """Run one soak; return 0 if every oracle was satisfied, 1 if not, 2 for a bad argument."""
    if not DEFAULT_MACHINES <= arguments.machines <= MAX_MACHINES:
        print(f"--machines must be {DEFAULT_MACHINES} to {MAX_MACHINES}", file=sys.stderr)
        return 2
    folder = Path(tempfile.mkdtemp(prefix="rooklug-soak-"))
    try:
        result = soak(
            arguments.seed,
            arguments.seconds,
            arguments.machines,
            folder,
            print_line if not arguments.quiet else None,
        )
        if arguments.report is not None:
            write_report(arguments.report, result, folder)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print(summary(arguments.seed, result))
    for name, problems in result.broken.items():
        for problem in problems[:SHOWN_PROBLEMS]:
            print(f"  {name}: {problem}")
    return 1 if result.broken else 0


def soak(seed: int, seconds: float, machines: int, folder: Path, show: Any = None) -> SoakResult:
    """Run one soak in ``folder`` and judge it."""
    ledger = Ledger()
    if show is not None:
        ledger.listener = show
    play = Soak(SoakSettings(seed, seconds, machines, folder), ledger)
    asyncio.run(play.run())
    return SoakResult(judge(ledger), ledger, play.plan)


def print_line(text: str) -> None:
    """Print a line of progress at once."""
    print(text, flush=True)


def summary(seed: int, result: SoakResult) -> str:
    """Return one line with the verdict and the counts."""
    ledger = result.ledger
    served = sum(request.status == 200 for request in ledger.requests)
    acknowledged = sum(change.status == 200 for change in ledger.changes)
    verdict = f"BROKEN {', '.join(result.broken)}" if result.broken else "held"
    return (
        f"seed {seed}: {verdict}; {len(result.plan)} events, {len(ledger.requests)} requests, "
        f"{served} served, {len(ledger.runs)} runs, {acknowledged} changes acknowledged, "
        f"{len(ledger.ends)} ends of processes"
    )


def write_report(path: Path, result: SoakResult, folder: Path) -> None:
    """Write plan, violations, observations and the processes' logs as one JSON file."""
    converter = cattrs.Converter()
    converter.register_unstructure_hook(bytes, lambda data: data.decode("utf-8", "replace"))
    ledger = {
        field.name: converter.unstructure(getattr(result.ledger, field.name))
        for field in attrs.fields(Ledger)
        if field.name not in ("listener", "_started_at")
    }
    logs = {log.name: log.read_text(errors="replace") for log in sorted(folder.glob("*.log"))}
    plan = [converter.unstructure(event) for event in result.plan]
    content = {"broken": result.broken, "plan": plan, "ledger": ledger, "logs": logs}
    path.write_text(json.dumps(content, indent=1))
