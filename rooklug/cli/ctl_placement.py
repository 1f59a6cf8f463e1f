"""``rooklug ctl placement``: simulates the planner on a described site, or explains decisions."""

import argparse
import asyncio
import json
import sys
from pathlib import Path

import attrs
from expression import Error, Ok, Result

from rooklug.cli import exit_codes
from rooklug.cli.ctl_answers import report_failure
from rooklug.cli.ctl_decisions import format_decision
from rooklug.cli.operator_client import OperatorClient
from rooklug.cli.operator_requests import NEWEST_CONFIGURATION, decisions_after
from rooklug.cli.tables import format_table
from rooklug.config.document import Configuration
from rooklug.placement.problem import (
    DemandKey,
    PlacementPlan,
    PlacementProblem,
    RegionFacts,
    ReplicaSlot,
)

MAX_SIMULATED_REPLICAS = 10_000
_WORLD_HELP = """the world is a JSON file:
  {"replicas": [{"replica_id": "m1", "region": "cairo", "zone": "cairo-a",
                 "resource": "gpu-large", "resource_units": 1.0, "loaded_models": []}],
   "demand": [{"model": "notes-small", "latency_class": "interactive",
               "source_region": "cairo", "home_regions": [], "tokens_per_s": 400.0}]}
Demand is in tokens/s, prompt/8 + answer. Without --config the running site's configuration
is asked for at --node. Nothing is changed at a running site. With --without or --capacity
three outcomes are told: before, at once (no load), and replanned; exit code 1 if the new
plan would violate what isn't violated now.
"""


@attrs.frozen
class DescribedDemand:
    """Demand of one model, class and source region, in tokens/s (prompt / 8 + answer)."""

    model: str
    latency_class: str
    source_region: str
    tokens_per_s: float
    home_regions: tuple[str, ...] = ()


@attrs.frozen
class DescribedWorld:
    """Replicas and demand of a simulated site, as described in the operator's file."""

    replicas: tuple[ReplicaSlot, ...]
    demand: tuple[DescribedDemand, ...]


def add_placement_commands(commands: argparse._SubParsersAction) -> None:
    """Add ``placement simulate`` and ``placement explain``."""
    placement = commands.add_parser("placement", help="try the planner, or ask why")
    actions = placement.add_subparsers(metavar="ACTION", required=True)
    simulate = actions.add_parser(
        "simulate",
        help="plan for a described world, or for a change of it",
        epilog=_WORLD_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    simulate.add_argument(
        "--config", metavar="FILE", help="configuration document (default: the running site's)"
    )
    simulate.add_argument("--world", required=True, metavar="FILE", help="replicas and demand")
    simulate.add_argument("--without", metavar="REGION|ZONE", help="as if it had no replicas")
    simulate.add_argument("--capacity", metavar="REGION=N", help="as if it had N replicas")
    simulate.set_defaults(run=_simulate)
    explain = actions.add_parser("explain", help="the decisions about a model, replica or region")
    explain.add_argument("subject", help="a name that the decisions mention")
    explain.set_defaults(run=_explain)


def _simulate(arguments: argparse.Namespace) -> int:
    if arguments.config is None and not arguments.nodes:
        print("rooklug ctl: --config FILE or --node IP:PORT is needed", file=sys.stderr)
        return exit_codes.USAGE
    document = _configuration_bytes(arguments)
    problem = document.bind(lambda data: _read_problem(data, arguments))
    code = problem.bind(lambda found: _print_outcome(found, arguments))
    if code.is_error():
        print(f"rooklug ctl: {code.error}", file=sys.stderr)
        return exit_codes.INVALID
    return code.ok


def _configuration_bytes(arguments: argparse.Namespace) -> Result[bytes, str]:
    if arguments.config is not None:
        return _read_file(arguments.config)
    client = OperatorClient(tuple(arguments.nodes), arguments.timeout)
    outcome = asyncio.run(client.send(NEWEST_CONFIGURATION))
    if outcome.is_error():
        return Error("no configuration: " + "; ".join(outcome.error.reasons))
    if outcome.ok.status != 200:
        return Error(f"no configuration: {outcome.ok.status} {outcome.ok.error_code()}")
    return Ok(outcome.ok.body)


def _read_file(name: str) -> Result[bytes, str]:
    try:
        return Ok(Path(name).read_bytes())
    except OSError as problem:
        return Error(str(problem))


def _read_problem(document: bytes, arguments: argparse.Namespace) -> Result[PlacementProblem, str]:
    from rooklug.config.document_reader import read_configuration

    configuration = read_configuration(document)
    if configuration.is_error():
        lines = [f"{problem.path}: {problem.message}" for problem in configuration.error]
        return Error(f"{arguments.config or 'the configuration'}: " + "; ".join(lines))
    world = _read_file(arguments.world).bind(read_world)
    return world.map(lambda found: build_problem(configuration.ok, found))


def _print_outcome(problem: PlacementProblem, arguments: argparse.Namespace) -> Result[int, str]:
    """Print the plan, or the effect of the requested change; return the exit code."""
    from rooklug.placement.planner import solve  # imported here since it loads the solver
    from rooklug.placement.whatif import simulate

    if arguments.without is None and arguments.capacity is None:
        print(format_plan(solve(problem)))
        return Ok(exit_codes.OK)
    changed = _apply_change(problem, arguments)
    if changed.is_error():
        return Error(changed.error)
    outcome = simulate(problem, changed.ok, _describe_change(arguments))
    print(outcome.to_text())
    return Ok(exit_codes.FAILURE if outcome.new_violations else exit_codes.OK)


def _apply_change(
    problem: PlacementProblem, arguments: argparse.Namespace
) -> Result[PlacementProblem, str]:
    """Apply the requested change to the problem; an error says why it can't be applied."""
    from rooklug.placement.whatif import parse_capacity, with_capacity, without

    changed = problem
    if arguments.without is not None:
        changed = without(changed, arguments.without)
        if len(changed.slots) == len(problem.slots):
            return Error(f"no replica is in {arguments.without!r}")
    if arguments.capacity is None:
        return Ok(changed)
    try:
        capacity = parse_capacity(arguments.capacity)
    except ValueError as fault:
        return Error(f"--capacity: {fault}")
    if capacity.region not in problem.regions:
        return Error(f"the configuration has no region {capacity.region!r}")
    if capacity.replicas > MAX_SIMULATED_REPLICAS:
        return Error(f"--capacity: at most {MAX_SIMULATED_REPLICAS} replicas can be simulated")
    return Ok(with_capacity(changed, capacity))


def _describe_change(arguments: argparse.Namespace) -> str:
    names = [f"without {arguments.without}"] if arguments.without is not None else []
    if arguments.capacity is not None:
        region, _, count = arguments.capacity.rpartition("=")
        names.append(f"{region} with {count} replicas")
    return ", ".join(names)


def read_world(data: bytes) -> Result[DescribedWorld, str]:
    """Parse the file of a simulated site; an error lists everything that is invalid."""
    import cattrs

    try:
        converter = cattrs.Converter(forbid_extra_keys=True)
        return Ok(converter.structure(json.loads(data), DescribedWorld))
    except ValueError as problem:
        return Error(f"the world is no JSON: {problem}")
    except (cattrs.BaseValidationError, TypeError) as problem:
        return Error("the world: " + "; ".join(cattrs.transform_error(problem, path="")))


def build_problem(configuration: Configuration, world: DescribedWorld) -> PlacementProblem:
    """Return the planner's input; demand of the same kind is summed."""
    demand: dict[DemandKey, float] = {}
    for entry in world.demand:
        key = DemandKey(
            entry.model, entry.latency_class, entry.source_region, tuple(sorted(entry.home_regions))
        )
        demand[key] = demand.get(key, 0.0) + entry.tokens_per_s
    return PlacementProblem(
        models=configuration.models,
        regions={
            name: RegionFacts(region.weights, region.round_trip_ms)
            for name, region in sorted(configuration.regions.items())
        },
        slots=world.replicas,
        demand=demand,
        max_moves=configuration.placement.max_moves,
        solve_limit_s=configuration.placement.solve_limit_s,
        readiness=configuration.placement.readiness,
    )


def format_plan(plan: PlacementPlan) -> str:
    """Return a plan as text: tables, then evictions, unplaced demand and violations."""
    assignments = [(slot, ", ".join(models)) for slot, models in sorted(plan.assignments.items())]
    shares = [
        (
            share.demand_key.model,
            share.demand_key.latency_class,
            share.demand_key.source_region,
            share.destination_region,
            share.preference,
            f"{share.weight:.3f}",
        )
        for share in plan.matrix
    ]
    lines = [
        format_table(("replica", "models"), assignments),
        "",
        format_table(("model", "class", "from", "to", "preference", "weight"), shares),
        "",
        f"solver {plan.solver}, objective {plan.objective:.3f}, gap {plan.gap:.4f}",
    ]
    lines += [f"evicted: {model}" for model in plan.evicted_models]
    lines += [
        f"not placed: {key.model}/{key.latency_class} from {key.source_region}: {load:.1f} tokens/s"
        for key, load in plan.unplaced.items()
    ]
    lines += [f"intent not met: {violation.message}" for violation in plan.violations]
    return "\n".join([*lines, *plan.notes])


def _explain(arguments: argparse.Namespace) -> int:
    if not arguments.nodes:
        print("rooklug ctl: --node IP:PORT is needed", file=sys.stderr)
        return exit_codes.USAGE
    client = OperatorClient(tuple(arguments.nodes), arguments.timeout)
    return asyncio.run(_explain_subject(client, arguments.subject))


async def _explain_subject(client: OperatorClient, subject: str) -> int:
    outcome = await client.send(decisions_after("0.0.0", 0.0))
    if outcome.is_error() or outcome.ok.status != 200:
        return report_failure(outcome)
    decisions = outcome.ok.document().get("decisions", [])
    about = [decision for decision in decisions if subject in json.dumps(decision)]
    for decision in about:
        print(format_decision(decision))
    if not about:
        print(f"no kept decision mentions {subject!r}", file=sys.stderr)
        return exit_codes.FAILURE
    return exit_codes.OK
