"""``rooklug-lab policy``: evaluates routing policies on simulated deployments."""

import argparse
import json
import sys
from pathlib import Path

import attrs

from rooklug_lab.policy.decision_cost import SIZES, measure_decision
from rooklug_lab.policy.experiment import Case, CaseResult, difference, run_cases
from rooklug_lab.policy.faults import DAYS
from rooklug_lab.policy.mechanisms import MECHANISMS
from rooklug_lab.policy.plots import plot_run
from rooklug_lab.policy.settings import Setting, SettingError, read_setting
from rooklug_lab.policy.shapes import read_site, site_names
from rooklug_lab.policy.tables import by_kind, by_region, by_second, table
from rooklug_lab.policy.world import PolicyWorld

DEFAULT_WORKERS = 4
DEFAULT_SITE = "three-regions"


def add_policy_command(commands: argparse._SubParsersAction) -> None:
    """Add the ``policy`` subcommand with its own subcommands."""
    parser = commands.add_parser("policy", help="judge routing policies by emulated engines")
    verbs = parser.add_subparsers(metavar="VERB", required=True)
    run = verbs.add_parser("run", help="play days and print what they earned")
    _add_cases(run)
    run.add_argument("--set", action="append", default=[], metavar="MODULE.NAME=VALUE")
    run.add_argument("--json", action="store_true", help="one JSON object a run")
    run.set_defaults(run=_run)
    compare = verbs.add_parser("compare", help="the same seeds with and without a change")
    _add_cases(compare)
    compare.add_argument("--set", action="append", default=[], metavar="MODULE.NAME=VALUE")
    compare.add_argument("--without", default="", help=", ".join(MECHANISMS))
    compare.set_defaults(run=_compare)
    ablate = verbs.add_parser("ablate", help="what each mechanism is worth")
    _add_cases(ablate)
    ablate.set_defaults(run=_ablate)
    show = verbs.add_parser("show", help="tables of one run, and a picture of it")
    _add_cases(show)
    show.add_argument("--set", action="append", default=[], metavar="MODULE.NAME=VALUE")
    show.add_argument("--plot", default="", metavar="FILE")
    show.set_defaults(run=_show)
    cost = verbs.add_parser("cost", help="processor time of one decision by number of replicas")
    cost.add_argument("--replicas", default=",".join(map(str, SIZES)), metavar="N,N,...")
    cost.set_defaults(run=_cost)


def _add_cases(parser: argparse.ArgumentParser) -> None:
    names = ", ".join(site_names())
    parser.add_argument("--site", default=DEFAULT_SITE, help=f"several by commas: {names}")
    parser.add_argument("--day", default="calm", help=f"several by commas: {', '.join(DAYS)}, all")
    parser.add_argument("--seeds", default="1-2", metavar="A-B")
    parser.add_argument("--load", type=float, default=1.0, help="factor of every rate")
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKERS)


def _cases(arguments: argparse.Namespace, settings: tuple[Setting, ...]) -> list[Case]:
    first, _, last = arguments.seeds.partition("-")
    days = list(DAYS) if arguments.day == "all" else arguments.day.split(",")
    unknown = [day for day in days if day not in DAYS]
    if unknown:
        raise SettingError(f"unknown day {unknown[0]}; available days: {', '.join(DAYS)}")
    return [
        Case(site, day, seed, arguments.load, settings)
        for site in arguments.site.split(",")
        for day in days
        for seed in range(int(first), int(last or first) + 1)
    ]


def _settings(arguments: argparse.Namespace) -> tuple[Setting, ...]:
    settings = tuple(read_setting(text) for text in arguments.set)
    name = getattr(arguments, "without", "")
    if not name:
        return settings
    if name not in MECHANISMS:
        raise SettingError(
            f"unknown mechanism {name}; available mechanisms: {', '.join(MECHANISMS)}"
        )
    return (*settings, *MECHANISMS[name].settings)


def _run(arguments: argparse.Namespace) -> int:
    try:
        cases = _cases(arguments, _settings(arguments))
    except SettingError as error:
        print(error, file=sys.stderr)
        return 2
    totals = []
    for played in run_cases(cases, arguments.workers):
        totals.append(played.verdict.total)
        print(json.dumps(_report(played)) if arguments.json else _line(played), flush=True)
    print(f"mean of {len(totals)} runs: {sum(totals) / len(totals):.4f}")
    return 0


def _compare(arguments: argparse.Namespace) -> int:
    try:
        before = _cases(arguments, ())
        after = _cases(arguments, _settings(arguments))
    except SettingError as error:
        print(error, file=sys.stderr)
        return 2
    found = list(run_cases([*before, *after], arguments.workers))
    pairs = list(zip(found[: len(before)], found[len(before) :], strict=True))
    for one, two in pairs:
        print(_pair_line(one, two), flush=True)
    result = difference([two.verdict.total - one.verdict.total for one, two in pairs])
    print(
        f"mean {result.mean:+.4f}, standard error {result.error:.4f}, "
        f"{result.pairs} pairs: {result.verdict}"
    )
    return 0


def _cost(arguments: argparse.Namespace) -> int:
    for count in arguments.replicas.split(","):
        cost = measure_decision(int(count))
        print(f"{cost.replicas:5} replicas: {cost.seconds * 1000:.3f} ms a decision", flush=True)
    return 0


def _ablate(arguments: argparse.Namespace) -> int:
    try:
        baseline = _cases(arguments, ())
        variants = {m.name: _cases(arguments, m.settings) for m in MECHANISMS.values()}
    except SettingError as error:
        print(error, file=sys.stderr)
        return 2
    cases = [*baseline, *(case for found in variants.values() for case in found)]
    played = []
    for result in run_cases(cases, arguments.workers):
        played.append(result.verdict.total)
        print(f"{len(played)} of {len(cases)} runs", end="\r", file=sys.stderr, flush=True)
    before, rest = played[: len(baseline)], played[len(baseline) :]
    for number, name in enumerate(variants):
        after = rest[number * len(baseline) : (number + 1) * len(baseline)]
        worth = difference([one - two for one, two in zip(before, after, strict=True)])
        print(f"{name:16} {worth.mean:+.4f} {worth.error:.4f} {worth.pairs:3} {worth.verdict}")
    return 0


def _show(arguments: argparse.Namespace) -> int:
    try:
        case = _cases(arguments, _settings(arguments))[0]
    except SettingError as error:
        print(error, file=sys.stderr)
        return 2
    for setting in case.settings:
        setting.apply()
    world = PolicyWorld(read_site(case.site), case.day, case.seed, case.load)
    print(f"{case.label}: {world.run().total:.4f}")
    print(table("kind", by_kind(world.outcomes)))
    print(table("region", by_region(world.outcomes)))
    print(table("second", by_second(world.outcomes)))
    if arguments.plot:
        plot_run(world.outcomes, Path(arguments.plot))
    return 0


def _line(played: CaseResult) -> str:
    verdict, usage = played.verdict, played.usage
    kinds = " ".join(f"{name} {value:.2f}" for name, value in verdict.by_kind.items())
    prices = " ".join(f"{name} {value:.3f}" for name, value in verdict.prices.items())
    return (
        f"{played.case.label:36} {verdict.total:.4f} whole {verdict.whole_day:.3f} "
        f"windows {verdict.worst_windows:.3f} kind {verdict.worst_kind:.3f} | {prices} | {kinds} | "
        f"served {played.served}/{played.requests} again {usage.tokens_again / 1e6:.2f} M "
        f"cold second {usage.worst_cold_second}"
    )


def _pair_line(one: CaseResult, two: CaseResult) -> str:
    moved = {
        "whole": two.verdict.whole_day - one.verdict.whole_day,
        "windows": two.verdict.worst_windows - one.verdict.worst_windows,
        "kind": two.verdict.worst_kind - one.verdict.worst_kind,
        **{name: price - one.verdict.prices[name] for name, price in two.verdict.prices.items()},
    }
    changes = ", ".join(
        f"{name} {value:+.3f}" for name, value in moved.items() if abs(value) > 0.002
    )
    change = two.verdict.total - one.verdict.total
    totals = f"{one.verdict.total:.3f} -> {two.verdict.total:.3f} ({change:+.3f})"
    return f"{one.case.label:36} {totals}  {changes}"


def _report(played: CaseResult) -> dict:
    return {
        "site": played.case.site,
        "day": played.case.day,
        "seed": played.case.seed,
        "requests": played.requests,
        "served": played.served,
        "usage": attrs.asdict(played.usage),
        **attrs.asdict(played.verdict),
    }
