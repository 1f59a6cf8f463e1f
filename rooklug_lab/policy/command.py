"""``rooklug-lab policy``: emulated deployments, by which routing policies are judged."""

import argparse
import json
import sys

import attrs

from rooklug_lab.policy.experiment import Case, Played, difference, play_all
from rooklug_lab.policy.faults import DAYS
from rooklug_lab.policy.settings import Setting, SettingError, read_setting
from rooklug_lab.policy.shapes import site_names

DEFAULT_WORKERS = 4


def add_policy_command(commands: argparse._SubParsersAction) -> None:
    """Add the subcommand and its verbs."""
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
    compare.set_defaults(run=_compare)


def _add_cases(parser: argparse.ArgumentParser) -> None:
    names = site_names()
    parser.add_argument("--site", default=names[-1], help=f"several by commas: {', '.join(names)}")
    parser.add_argument("--day", default="calm", help=f"several by commas: {', '.join(DAYS)}, all")
    parser.add_argument("--seeds", default="1-2", metavar="A-B")
    parser.add_argument("--load", type=float, default=1.0, help="factor of every rate")
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKERS)


def _cases(arguments: argparse.Namespace, settings: tuple[Setting, ...]) -> list[Case]:
    first, _, last = arguments.seeds.partition("-")
    days = list(DAYS) if arguments.day == "all" else arguments.day.split(",")
    unknown = [day for day in days if day not in DAYS]
    if unknown:
        raise SettingError(f"no day {unknown[0]}; there are {', '.join(DAYS)}")
    return [
        Case(site, day, seed, arguments.load, settings)
        for site in arguments.site.split(",")
        for day in days
        for seed in range(int(first), int(last or first) + 1)
    ]


def _settings(arguments: argparse.Namespace) -> tuple[Setting, ...]:
    return tuple(read_setting(text) for text in arguments.set)


def _run(arguments: argparse.Namespace) -> int:
    try:
        cases = _cases(arguments, _settings(arguments))
    except SettingError as error:
        print(error, file=sys.stderr)
        return 2
    totals = []
    for played in play_all(cases, arguments.workers):
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
    found = list(play_all([*before, *after], arguments.workers))
    pairs = list(zip(found[: len(before)], found[len(before) :], strict=True))
    for one, two in pairs:
        print(_pair_line(one, two), flush=True)
    result = difference([two.verdict.total - one.verdict.total for one, two in pairs])
    print(
        f"mean {result.mean:+.4f}, standard error {result.error:.4f}, "
        f"{result.pairs} pairs: {result.verdict}"
    )
    return 0


def _line(played: Played) -> str:
    verdict, usage = played.verdict, played.usage
    kinds = " ".join(f"{name} {value:.2f}" for name, value in verdict.by_kind.items())
    prices = " ".join(f"{name} {value:.3f}" for name, value in verdict.prices.items())
    return (
        f"{played.case.label:36} {verdict.total:.4f} whole {verdict.whole_day:.3f} "
        f"windows {verdict.worst_windows:.3f} kind {verdict.worst_kind:.3f} | {prices} | {kinds} | "
        f"served {played.served}/{played.requests} again {usage.tokens_again / 1e6:.2f} M "
        f"cold second {usage.worst_cold_second}"
    )


def _pair_line(one: Played, two: Played) -> str:
    moved = {
        "whole": two.verdict.whole_day - one.verdict.whole_day,
        "windows": two.verdict.worst_windows - one.verdict.worst_windows,
        "kind": two.verdict.worst_kind - one.verdict.worst_kind,
        **{name: price - one.verdict.prices[name] for name, price in two.verdict.prices.items()},
    }
    told = ", ".join(f"{name} {value:+.3f}" for name, value in moved.items() if abs(value) > 0.002)
    change = two.verdict.total - one.verdict.total
    totals = f"{one.verdict.total:.3f} -> {two.verdict.total:.3f} ({change:+.3f})"
    return f"{one.case.label:36} {totals}  {told}"


def _report(played: Played) -> dict:
    return {
        "site": played.case.site,
        "day": played.case.day,
        "seed": played.case.seed,
        "requests": played.requests,
        "served": played.served,
        "usage": attrs.asdict(played.usage),
        **attrs.asdict(played.verdict),
    }
