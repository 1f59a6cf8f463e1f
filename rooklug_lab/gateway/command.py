"""``rooklug-lab gateway``: fault scenarios of the gateway in virtual time, over many seeds."""

import argparse
import json
import sys
from concurrent.futures import ProcessPoolExecutor

from rooklug_lab.gateway.scenarios import SCENARIOS, run_gateway_scenario

DEFAULT_WORKERS = 4
SHOWN_FINDINGS = 3


def add_gateway_command(commands: argparse._SubParsersAction) -> None:
    """Add the subcommand ``gateway`` and its arguments to the parser of ``rooklug-lab``."""
    names = ", ".join(SCENARIOS)
    parser = commands.add_parser(
        "gateway", help="simulate pass-through fronts", description=f"Scenarios: {names}, all."
    )
    parser.add_argument("scenario", help="a scenario, several by commas, or all")
    parser.add_argument("--seeds", default="1-2", metavar="A-B")
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKERS)
    parser.add_argument("--json", action="store_true", help="one JSON object a run")
    parser.set_defaults(run=run_gateway)


def run_gateway(arguments: argparse.Namespace) -> int:
    """Run each scenario under each seed and print a line per run.

    Returns the exit status: 1 if an oracle failed in any run, 2 for an unknown scenario.
    """
    names = list(SCENARIOS) if arguments.scenario == "all" else arguments.scenario.split(",")
    unknown = [name for name in names if name not in SCENARIOS]
    if unknown:
        print(f"no scenario {unknown[0]}; there are {', '.join(SCENARIOS)}", file=sys.stderr)
        return 2
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    jobs = [(name, seed) for name in names for seed in seeds]
    failed = 0
    with ProcessPoolExecutor(arguments.workers) as pool:
        for report in pool.map(_report, jobs):
            failed += bool(report["broken"])
            print(json.dumps(report) if arguments.json else _line(report), flush=True)
    print(f"{len(jobs) - failed} of {len(jobs)} runs passed")
    return 1 if failed else 0


def _report(job: tuple[str, int]) -> dict:
    name, seed = job
    run = run_gateway_scenario(name, seed)
    return {
        "scenario": name,
        "seed": seed,
        "requests": len(run.journal.attempts),
        "served": round(run.served_share, 4),
        "broken": {oracle: found[:SHOWN_FINDINGS] for oracle, found in run.broken.items()},
    }


def _line(report: dict) -> str:
    outcome = "passed" if not report["broken"] else f"BROKEN {report['broken']}"
    name, seed = report["scenario"], report["seed"]
    return (
        f"{name:22} seed {seed:4} {report['requests']:5} requests {report['served']:.3f} {outcome}"
    )
