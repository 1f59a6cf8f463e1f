"""``rooklug-lab soak``: real processes, overlapping seeded events, judged by the users' rules."""

import argparse
import asyncio
import json
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import attrs
import cattrs

from rooklug_lab.soak.director import Soak, SoakSettings
from rooklug_lab.soak.ledger import Ledger
from rooklug_lab.soak.oracles import judge
from rooklug_lab.soak.plan import Event

DEFAULT_SECONDS = 60.0
DEFAULT_MACHINES = 3
MAX_MACHINES = 60
"""Two processes a machine and their memory stay within the limits of one computer."""
SHOWN_PROBLEMS = 5
INTERRUPTED = "interrupted"
"""Stands among the violations of a soak that was stopped, whose oracles were not asked."""


@attrs.frozen
class SoakResult:
    """The violations by oracle, and what a soak saw and did."""

    settings: SoakSettings
    broken: dict[str, list[str]]
    ledger: Ledger
    plan: list[Event]


def add_soak_command(commands: argparse._SubParsersAction) -> None:
    """Add the subcommand ``soak`` and its arguments to the parser of ``rooklug-lab``."""
    parser = commands.add_parser("soak", help="real processes under overlapping seeded events")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="of events")
    parser.add_argument("--machines", type=int, default=DEFAULT_MACHINES)
    parser.add_argument("--report", type=Path, help="file for plan, ledger and logs, as JSON")
    parser.add_argument("--replay", type=Path, help="play the plan of an earlier report again")
    parser.add_argument("--quiet", action="store_true", help="print only the verdict")
    parser.set_defaults(run=run_soak)


def run_soak(arguments: argparse.Namespace) -> int:
    """Run one soak; return 0 if every oracle was satisfied, 1 if not, 2 for a bad argument."""
    settings = SoakSettings(arguments.seed, arguments.seconds, arguments.machines)
    plan = None
    if arguments.replay is not None:
        settings, plan = read_report(arguments.replay)
    if not DEFAULT_MACHINES <= settings.machines <= MAX_MACHINES:
        print(f"--machines must be {DEFAULT_MACHINES} to {MAX_MACHINES}", file=sys.stderr)
        return 2
    folder = Path(tempfile.mkdtemp(prefix="rooklug-soak-"))
    try:
        result = soak(settings, folder, plan, show=ignore if arguments.quiet else print_line)
        if arguments.report is not None:
            write_report(arguments.report, result, folder)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print(summary(result))
    for name, problems in result.broken.items():
        for problem in problems[:SHOWN_PROBLEMS]:
            print(f"  {name}: {problem}")
    return 1 if result.broken else 0


def soak(
    settings: SoakSettings,
    folder: Path,
    plan: list[Event] | None = None,
    show: Callable[[str], None] | None = None,
) -> SoakResult:
    """Run one soak in ``folder`` and judge it; ``show`` gets a line for each occurrence."""
    ledger = Ledger(listener=show or ignore)
    play = Soak(settings, ledger, folder, plan)
    finished = asyncio.run(_run_until_stopped(play))
    broken = judge(ledger) if finished else {INTERRUPTED: ["it was stopped before its end"]}
    return SoakResult(settings, broken, ledger, play.plan)


async def _run_until_stopped(play: Soak) -> bool:
    """Run a soak; return False if SIGINT or SIGTERM stopped it. Its processes are ended then."""
    running = asyncio.create_task(play.run())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, running.cancel)
    try:
        await running
    except asyncio.CancelledError:
        return False
    return True


def print_line(text: str) -> None:
    """Print a line of progress at once."""
    print(text, flush=True)


def ignore(text: str) -> None:
    """Show nothing."""


def summary(result: SoakResult) -> str:
    """Return one line with the verdict and the counts."""
    ledger, settings = result.ledger, result.settings
    served = sum(request.status == 200 for request in ledger.requests)
    acknowledged = sum(change.status == 200 for change in ledger.changes)
    verdict = f"BROKEN {', '.join(result.broken)}" if result.broken else "held"
    return (
        f"seed {settings.seed}, {settings.machines} machines: {verdict}; "
        f"{len(result.plan)} events, {len(ledger.requests)} requests, "
        f"{served} served, {len(ledger.runs)} runs, "
        f"{acknowledged} changes acknowledged, {len(ledger.ends)} ends of processes"
    )


def write_report(path: Path, result: SoakResult, folder: Path) -> None:
    """Write settings, plan, violations, observations and the processes' logs as one JSON file."""
    converter = _converter()
    ledger = {
        field.name: converter.unstructure(getattr(result.ledger, field.name))
        for field in attrs.fields(Ledger)
        if field.name not in ("listener", "_started_at")
    }
    content = {
        "settings": converter.unstructure(result.settings),
        "broken": result.broken,
        "plan": converter.unstructure(result.plan),
        "ledger": ledger,
        "logs": {log.name: log.read_text(errors="replace") for log in folder.glob("*.log")},
    }
    path.write_text(json.dumps(content, indent=1))


def read_report(path: Path) -> tuple[SoakSettings, list[Event]]:
    """Return the settings and the plan of a report."""
    content = json.loads(path.read_text())
    converter = _converter()
    settings = converter.structure(content["settings"], SoakSettings)
    return settings, converter.structure(content["plan"], list[Event])


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    converter.register_unstructure_hook(bytes, lambda data: data.decode("utf-8", "replace"))
    return converter
