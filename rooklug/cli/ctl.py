"""``rooklug ctl``: the operator's commands, sent to the HTTP API of any front."""

import argparse
import asyncio
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from rooklug.cli import exit_codes
from rooklug.cli.ctl_answers import report_change, report_configuration, report_failure
from rooklug.cli.ctl_decisions import follow_decisions, print_decisions
from rooklug.cli.ctl_placement import add_placement_commands
from rooklug.cli.ctl_status import print_status
from rooklug.cli.operator_client import OperatorClient, OperatorRequest
from rooklug.cli.operator_requests import (
    LOCAL_CONFIGURATION,
    NEWEST_CONFIGURATION,
    STATUS,
    patch_configuration,
    put_configuration,
    zone_order,
)
from rooklug.runtime.addresses import split_address

_EXAMPLES = """examples:
  rooklug ctl --node 127.0.1.1:8000 apply site.json --version 12
  rooklug ctl --node 127.0.1.1:8000 patch weights.json --base 12 --version 13
  rooklug ctl --node 127.0.1.1:8000 --node 127.0.1.2:8000 get > site.json
  rooklug ctl --node 127.0.1.1:8000 zone empty cairo-a
  rooklug ctl --node 127.0.1.1:8000 status
  rooklug ctl --node 127.0.1.1:8000 decisions --follow
  rooklug ctl placement simulate --config site.json --world world.json

exit codes: 0 done, 1 failed, 2 usage, 3 conflict with another change, 4 refused as invalid,
5 certainly not taken, 6 may have been taken: run the very same command again
"""
DEFAULT_LIMIT_S = 15.0


def add_ctl_command(subcommands: argparse._SubParsersAction) -> None:
    """Add the subcommand ``ctl`` with all its commands."""
    parser = subcommands.add_parser(
        "ctl",
        help="change and watch a running site",
        description="The operator's commands, sent to any front.",
        epilog=_EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_node_options(parser)
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_configuration_commands(commands)
    _add_zone_commands(commands)
    _add_watching_commands(commands)
    add_placement_commands(commands)


def add_node_options(parser: argparse.ArgumentParser) -> None:
    """Add ``--node`` and ``--timeout``, which ``client_of`` reads."""
    parser.add_argument(
        "--node",
        dest="nodes",
        action="append",
        default=[],
        type=node_address,
        metavar="IP:PORT",
        help="HTTP address of a front; several are tried in turn (repeatable)",
    )
    parser.add_argument(
        "--timeout", type=float, default=DEFAULT_LIMIT_S, metavar="S", help="limit of an order"
    )


def node_address(text: str) -> str:
    """Return ``text`` if it is "ip:port"; raise ``ArgumentTypeError`` otherwise."""
    try:
        split_address(text)
    except ValueError as problem:
        raise argparse.ArgumentTypeError(str(problem)) from problem
    return text


def _add_configuration_commands(commands: argparse._SubParsersAction) -> None:
    apply = commands.add_parser("apply", help="send a whole configuration")
    apply.add_argument("file", metavar="FILE", help="JSON document, - for standard input")
    apply.add_argument("--version", type=int, required=True, help="the number you give it")
    apply.set_defaults(run=_run(_apply))
    patch = commands.add_parser("patch", help="send a JSON merge patch (RFC 7396)")
    patch.add_argument("file", metavar="FILE", help="JSON merge patch, - for standard input")
    patch.add_argument("--base", type=int, required=True, help="the version it is for")
    patch.add_argument("--version", type=int, required=True, help="the number you give it")
    patch.set_defaults(run=_run(_patch))
    get = commands.add_parser("get", help="print the newest acknowledged configuration")
    get.add_argument("--local", action="store_true", help="what the asked front serves under")
    get.set_defaults(run=_run(_get))


def _add_zone_commands(commands: argparse._SubParsersAction) -> None:
    zone = commands.add_parser("zone", help="empty a zone, or take it back")
    zone.add_argument("action", choices=("empty", "restore"))
    zone.add_argument("zone")
    zone.add_argument("--operation-id", default="", help="name of the order (else a new one)")
    zone.set_defaults(run=_run(_zone))


def _add_watching_commands(commands: argparse._SubParsersAction) -> None:
    status = commands.add_parser("status", help="cores, nodes, roles and emptied zones")
    status.add_argument("--json", action="store_true")
    status.set_defaults(run=_run(_status))
    decisions = commands.add_parser("decisions", help="what was decided, and why")
    decisions.add_argument("--after", default="0.0.0", metavar="CURSOR", help="resume here")
    decisions.add_argument("--follow", action="store_true", help="go on until interrupted")
    decisions.add_argument("--json", action="store_true", help="one JSON object a line")
    decisions.set_defaults(run=_run(_decisions))


def _run(
    command: Callable[[argparse.Namespace], Coroutine[Any, Any, int]],
) -> Callable[[argparse.Namespace], int]:
    """Wrap a coroutine function as a synchronous command that requires ``--node``."""

    def run(arguments: argparse.Namespace) -> int:
        if not arguments.nodes:
            print("rooklug ctl: --node IP:PORT is needed", file=sys.stderr)
            return exit_codes.USAGE
        try:
            return asyncio.run(command(arguments))
        except KeyboardInterrupt:
            return exit_codes.OK

    return run


def client_of(arguments: argparse.Namespace) -> OperatorClient:
    """Return a client for the fronts and the time limit given by the node options."""
    return OperatorClient(tuple(arguments.nodes), arguments.timeout)


async def _apply(arguments: argparse.Namespace) -> int:
    document = _read_input(arguments.file)
    return await _send_change(arguments, document, put_configuration(arguments.version, document))


async def _patch(arguments: argparse.Namespace) -> int:
    patch = _read_input(arguments.file)
    request = patch_configuration(arguments.base, arguments.version, patch)
    return await _send_change(arguments, patch, request)


async def _send_change(
    arguments: argparse.Namespace, document: bytes | None, request: OperatorRequest
) -> int:
    if document is None:
        return exit_codes.USAGE
    return report_change(await client_of(arguments).send(request))


async def _get(arguments: argparse.Namespace) -> int:
    request = LOCAL_CONFIGURATION if arguments.local else NEWEST_CONFIGURATION
    return report_configuration(await client_of(arguments).send(request))


async def _zone(arguments: argparse.Namespace) -> int:
    request = zone_order(arguments.zone, arguments.action, arguments.operation_id)
    return report_change(await client_of(arguments).send(request))


async def _status(arguments: argparse.Namespace) -> int:
    result = await client_of(arguments).send(STATUS)
    if result.is_error() or result.ok.status != 200:
        return report_failure(result)
    print_status(result.ok, as_json=arguments.json)
    return exit_codes.OK


async def _decisions(arguments: argparse.Namespace) -> int:
    client = client_of(arguments)
    if arguments.follow:
        return await follow_decisions(client, arguments.after, as_json=arguments.json)
    return await print_decisions(client, arguments.after, as_json=arguments.json)


def _read_input(file: str) -> bytes | None:
    try:
        return sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as problem:
        print(f"rooklug ctl: {problem}", file=sys.stderr)
        return None
