"""``rooklug runbook``: lists, shows and runs the runbooks."""

import argparse
import asyncio
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any

from rooklug.cli import exit_codes
from rooklug.cli.ctl import add_node_options, client_of
from rooklug.runbooks.catalogue import RUNBOOKS
from rooklug.runbooks.model import Runbook, Step
from rooklug.runbooks.runner import Operator, RunbookRunner
from rooklug.runbooks.site import Site

_EXAMPLES = """examples:
  rooklug runbook list
  rooklug runbook show empty-zone zone=cairo-a --node 127.0.1.1:8000
  rooklug runbook run empty-zone zone=cairo-a --node 127.0.1.1:8000
  rooklug runbook run failover-check --node 127.0.1.1:8000 --yes

Steps done by hand are told, and then watched until the site shows them done.
exit codes: 0 every step was verified, 1 stopped or failed, 2 usage
"""


def add_runbook_command(subcommands: argparse._SubParsersAction) -> None:
    """Add the subcommand ``runbook`` with its actions."""
    parser = subcommands.add_parser(
        "runbook",
        help="list, show and run the runbooks",
        epilog=_EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = parser.add_subparsers(metavar="ACTION", required=True)
    actions.add_parser("list", help="names and when to use them").set_defaults(run=_list)
    show = actions.add_parser("show", help="the steps for the site as it is; does nothing")
    run = actions.add_parser("run", help="run the steps")
    for action, command in ((show, _show), (run, _run)):
        action.add_argument("name", choices=sorted(RUNBOOKS))
        action.add_argument("values", nargs="*", metavar="NAME=VALUE", help="parameters")
        add_node_options(action)
        action.set_defaults(run=_checked(command))
    run.add_argument("--yes", action="store_true", help="don't ask before each step")


def _list(_arguments: argparse.Namespace) -> int:
    for runbook in RUNBOOKS.values():
        print(f"{runbook.name}: {runbook.title}\n  {runbook.when}")
        for parameter in runbook.parameters:
            print(f"  {parameter.name}=...: {parameter.help}")
    return exit_codes.OK


def _checked(
    command: Callable[[argparse.Namespace, Runbook, dict[str, str]], Coroutine[Any, Any, int]],
) -> Callable[[argparse.Namespace], int]:
    """Wrap ``command`` to run only if the runbook's parameters and ``--node`` are given."""

    def run(arguments: argparse.Namespace) -> int:
        runbook = RUNBOOKS[arguments.name]
        pairs = [text.partition("=") for text in arguments.values]
        values = {name: value for name, _, value in pairs}
        wanted = {parameter.name for parameter in runbook.parameters}
        if set(values) != wanted or not all(values.values()):
            text = " ".join(f"{parameter.name}=..." for parameter in runbook.parameters)
            print(f"rooklug runbook: {runbook.name} needs: {text or 'nothing'}", file=sys.stderr)
            return exit_codes.USAGE
        if not arguments.nodes:
            print("rooklug runbook: --node IP:PORT is needed", file=sys.stderr)
            return exit_codes.USAGE
        return asyncio.run(command(arguments, runbook, values))

    return run


async def _show(arguments: argparse.Namespace, runbook: Runbook, values: dict[str, str]) -> int:
    print(f"{runbook.title}\n{runbook.when}")
    for number, step in enumerate(await runbook.plan(_site(arguments), values), 1):
        print(_describe(number, step))
    return exit_codes.OK


def _describe(number: int, step: Step) -> str:
    return f"{number}. {step.title}\n   {step.instruction()}\n   undo: {step.undo}"


async def _run(arguments: argparse.Namespace, runbook: Runbook, values: dict[str, str]) -> int:
    operator = Operator(print, (lambda question: True) if arguments.yes else _confirm)
    done = await RunbookRunner(_site(arguments), operator).run(runbook, values)
    return exit_codes.OK if done else exit_codes.FAILURE


def _site(arguments: argparse.Namespace) -> Site:
    return Site(client_of(arguments), time.monotonic)


def _confirm(question: str) -> bool:
    try:
        return input(f"  {question} [y/N] ").strip().lower() in ("y", "yes")
    except EOFError:
        return False
