"""``rooklug-lab hollow``: measure control at a large size on one machine."""

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from rooklug_lab.fleet.client import ConditionNotMetError
from rooklug_lab.fleet.subnets import HeldSubnet
from rooklug_lab.hollow import phases
from rooklug_lab.hollow.fleet import HollowFleet
from rooklug_lab.hollow.site import build_site
from rooklug_lab.hollow.size import FULL_FRONTS, FULL_REPLICAS, HollowSize

PHASES = ("steady", "changes", "storm", "kill-primary", "kill-placer", "return")


def add_hollow_commands(commands: argparse._SubParsersAction) -> None:
    """Add ``hollow`` and ``hollow-process``."""
    parser = commands.add_parser("hollow", help="control at a large size, with hollow nodes")
    parser.add_argument("--fronts", type=int, default=FULL_FRONTS)
    parser.add_argument("--replicas", type=int, default=FULL_REPLICAS)
    parser.add_argument("--seconds", type=float, default=15.0, help="of the steady state")
    parser.add_argument("--phases", nargs="+", choices=PHASES, default=list(PHASES))
    parser.add_argument("--folder", default="", help="keep files there")
    parser.add_argument("--json", action="store_true", help="one line, without indentation")
    parser.set_defaults(run=run_hollow)
    process = commands.add_parser("hollow-process", help="run hollow nodes (hollow starts it)")
    process.add_argument("spec")
    process.set_defaults(run=_run_process)


def _run_process(arguments: argparse.Namespace) -> int:
    from rooklug_lab.hollow.process import run_hollow_process

    return run_hollow_process(arguments.spec)


def run_hollow(arguments: argparse.Namespace) -> int:
    """Run the phases, print the figures; exit 1 if a phase failed."""
    subnet = HeldSubnet()
    try:
        with tempfile.TemporaryDirectory(prefix="rooklug-hollow-") as temporary:
            folder = Path(arguments.folder or temporary)
            result = asyncio.run(_run(arguments, subnet.number, folder))
    finally:
        subnet.release()
    print(json.dumps(result, indent=None if arguments.json else 1))
    failed = [name for name, figures in result.items() if "failed" in str(figures)]
    return 1 if failed else 0


async def _run(arguments: argparse.Namespace, subnet: int, folder: Path) -> dict[str, Any]:
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    site = build_site(HollowSize(arguments.fronts, arguments.replicas), subnet)
    fleet = HollowFleet(site, folder)
    result: dict[str, Any] = {
        "fronts": arguments.fronts,
        "replicas": arguments.replicas,
        "models": site.size.models,
        "document_bytes": len(site.document),
        "load_average_before": round(os.getloadavg()[0], 1),
    }
    try:
        begun = time.monotonic()
        await fleet.start()
        result["started_s"] = round(time.monotonic() - begun, 1)
        result["settle"] = await phases.measured(fleet, lambda: phases.settle(fleet))
        for name in arguments.phases:
            result[name] = await _phase(name, fleet, arguments.seconds)
            print(json.dumps({name: result[name]}), file=sys.stderr, flush=True)
    except ConditionNotMetError as problem:
        result["start"] = {"failed": str(problem)}
    finally:
        await fleet.stop()
    return result


async def _phase(name: str, fleet: HollowFleet, seconds: float) -> dict[str, Any]:
    run = {
        "steady": lambda: phases.steady(seconds),
        "changes": lambda: phases.single_changes(fleet),
        "storm": lambda: phases.storm(fleet),
        "kill-primary": lambda: phases.kill_primary(fleet),
        "kill-placer": lambda: phases.kill_placer(fleet),
        "return": lambda: phases.common_return(fleet),
    }[name]
    return await phases.measured(fleet, run)
