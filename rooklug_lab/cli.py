"""The ``rooklug-lab`` command: stand-ins, fleets, scenarios, load, and the simulator."""

import argparse
import sys

from rooklug_lab.deployment_plans import PLANS
from rooklug_lab.gateway.command import add_gateway_command
from rooklug_lab.hollow.command import add_hollow_commands
from rooklug_lab.lag import add_lag_command
from rooklug_lab.policy.command import add_policy_command
from rooklug_lab.soak.command import add_soak_command

_EXAMPLES = """examples:
  rooklug-lab list
  rooklug-lab fleet payroll
  rooklug-lab run kill-primary --seed 1 --deployment quiz --json
  rooklug-lab load --rate 100 --seconds 10
  rooklug-lab lag --routes 500 --changes 20
  rooklug-lab sim all --seeds 1-5
  rooklug-lab gateway all --seeds 1-5
  rooklug-lab soak --seed 1 --seconds 60 --machines 3
  rooklug-lab policy compare --set serving_fronts.SERVING_SHARE=0.1 --seeds 1-4
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the whole command line (``sim`` has one of its own)."""
    parser = argparse.ArgumentParser(
        prog="rooklug-lab",
        description="Proof of rooklug: real processes with faults, load, and a simulator.",
        epilog=_EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_list(commands)
    _add_fleet(commands)
    _add_run(commands)
    _add_demo(commands)
    _add_load(commands)
    _add_report(commands)
    _add_standin(commands)
    add_hollow_commands(commands)
    add_lag_command(commands)
    add_gateway_command(commands)
    add_policy_command(commands)
    add_soak_command(commands)
    commands.add_parser("sim", help="the simulator (rooklug-lab sim --help)")
    return parser


def _add_list(commands: argparse._SubParsersAction) -> None:
    parser = commands.add_parser("list", help="list deployments and scenarios")
    parser.set_defaults(run=_list)


def _list(_arguments: argparse.Namespace) -> int:
    from rooklug_lab.scenarios.catalogue import SCENARIOS

    print("deployments:")
    for name in PLANS:
        print(f"  {name}")
    print("scenarios with real processes (rooklug-lab run NAME):")
    for name, scenario in SCENARIOS.items():
        print(f"  {name:28} {scenario.description}")
    print("simulated scenarios: rooklug-lab sim list")
    return 0


def _add_fleet(commands: argparse._SubParsersAction) -> None:
    parser = commands.add_parser("fleet", help="start a site and keep it until Ctrl-C")
    parser.add_argument("deployment", choices=sorted(PLANS))
    parser.add_argument("--folder", default="", help="where files go (else a temporary folder)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--callers", action="store_true", help="start callers too")
    parser.set_defaults(run=_fleet)


def _fleet(arguments: argparse.Namespace) -> int:
    from rooklug_lab.fleet.command import run_fleet

    return run_fleet(arguments)


def _add_run(commands: argparse._SubParsersAction) -> None:
    parser = commands.add_parser("run", help="run a scenario with real processes")
    parser.add_argument("scenario")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--deployment", choices=sorted(PLANS), default="payroll")
    parser.add_argument("--folder", default="", help="keep files there")
    parser.add_argument("--json", action="store_true", help="one line, without indentation")
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    from rooklug_lab.scenarios.command import run_scenario

    return run_scenario(arguments)


def _add_demo(commands: argparse._SubParsersAction) -> None:
    parser = commands.add_parser("demo", help="a whole site at work in under a minute")
    parser.add_argument("--deployment", choices=sorted(PLANS), default="payroll")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", default="", help="keep files there")
    parser.set_defaults(run=_demo)


def _demo(arguments: argparse.Namespace) -> int:
    from rooklug_lab.demo import run_demo

    return run_demo(arguments)


def _add_load(commands: argparse._SubParsersAction) -> None:
    parser = commands.add_parser("load", help="measure the latency that one front adds")
    parser.add_argument("--rate", type=float, default=100.0, help="arrivals a second a path")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--prompt-bytes", type=int, default=1000)
    parser.add_argument("--answer-tokens", type=int, default=64)
    parser.add_argument("--tokens-per-s", type=float, default=1e6, help="of the replica, shared")
    parser.add_argument("--burst-factor", type=float, default=1.0)
    parser.add_argument("--burst-every", type=float, default=5.0, help="seconds")
    parser.add_argument("--burst-seconds", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", default="", help="write load.json there")
    parser.set_defaults(run=_load)


def _load(arguments: argparse.Namespace) -> int:
    from rooklug_lab.load.command import run_load

    return run_load(arguments)


def _add_report(commands: argparse._SubParsersAction) -> None:
    parser = commands.add_parser("report", help="plot the results of load")
    parser.add_argument("folder", help="a folder with load.json, or folders with one each")
    parser.set_defaults(run=_report)


def _report(arguments: argparse.Namespace) -> int:
    from rooklug_lab.load.report import run_report

    return run_report(arguments)


def _add_standin(commands: argparse._SubParsersAction) -> None:
    parser = commands.add_parser("standin", help="run stand-ins of a settings file (JSON)")
    parser.add_argument("settings")
    parser.set_defaults(run=_standin)


def _standin(arguments: argparse.Namespace) -> int:
    from rooklug_lab.standins.process import main as run_standins

    return run_standins(arguments.settings)


def main(arguments: list[str] | None = None) -> int:
    """Run one command; return its exit code."""
    given = sys.argv[1:] if arguments is None else arguments
    if given[:1] == ["sim"]:
        from rooklug_lab.sim.cli import main as run_simulator

        return run_simulator(given[1:])
    parsed = build_parser().parse_args(given)
    return parsed.run(parsed)


if __name__ == "__main__":
    sys.exit(main())
