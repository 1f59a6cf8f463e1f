"""The subcommands that run a daemon: ``core``, ``front`` and ``controller``."""

import argparse
import secrets
import sys
import time
from random import Random

from rooklug.cli import compose, exit_codes
from rooklug.cli.settings_file import (
    ROLE_CONTROLLER,
    ROLE_CORE,
    ROLE_FRONT,
    SettingsInput,
    read_settings,
    settings_fields,
)
from rooklug.engine.composite import CompositeReducer
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.model.settings import CoreSettings

_INCARNATION_BYTES = 8
_EXAMPLES = """examples:
  rooklug {role} --settings node.toml
  rooklug {role} --settings node.toml --listen-http 127.0.1.1:8000 --log-level debug
  rooklug {role} --settings node.toml --check

exit codes: 0 stopped, 2 settings wrong (each problem is printed), 69 port in use,
70 broken invariant, 73 data folder wrong, foreign or in use
"""
_HELP = {
    ROLE_CORE: "keep membership and the configuration (one of three, with a disk)",
    ROLE_FRONT: "carry callers' requests and serve the operators' API",
    ROLE_CONTROLLER: "host the singleton roles: placer, platform watcher, probers",
}


def add_daemon_commands(subcommands: argparse._SubParsersAction) -> None:
    """Add one subcommand per role, with a flag for each of its settings."""
    for role, description in _HELP.items():
        parser = subcommands.add_parser(
            role,
            help=description,
            description=description,
            epilog=_EXAMPLES.format(role=role),
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        parser.add_argument("--settings", metavar="FILE.toml", default="", help="settings file")
        parser.add_argument("--check", action="store_true", help="check the settings and end")
        for name in settings_fields():
            parser.add_argument(f"--{name.replace('_', '-')}", dest=name, metavar="VALUE")
        parser.add_argument(
            "--seed", dest="seeds", action="append", metavar="IP:PORT", help="a core (repeatable)"
        )
        if role == ROLE_CORE:
            parser.add_argument(
                "--member",
                dest="members",
                action="append",
                type=_member,
                metavar="ID=IP:PORT",
                help="a core's internal address (three times)",
            )
        parser.set_defaults(run=run_daemon, role=role)


def _member(text: str) -> tuple[str, str]:
    member_id, separator, address = text.partition("=")
    if not separator:
        raise argparse.ArgumentTypeError(f"{text!r} is not ID=IP:PORT")
    return member_id, address


def run_daemon(arguments: argparse.Namespace) -> int:
    """Check the settings, then run the daemon of ``arguments.role``; return its exit code."""
    result = read_settings(_settings_input(arguments))
    if result.is_error():
        for problem in result.error.problems:
            print(f"rooklug {arguments.role}: {problem}", file=sys.stderr)
        return exit_codes.USAGE
    if arguments.check:
        print("settings are right")
        return exit_codes.OK
    return _serve(result.ok)


def _settings_input(arguments: argparse.Namespace) -> SettingsInput:
    names = (*settings_fields(), "seeds", "members")
    flags = {name: getattr(arguments, name, None) for name in names}
    given = {name: value for name, value in flags.items() if value is not None}
    if "members" in given:
        given["members"] = dict(given["members"])
    return SettingsInput(arguments.role, arguments.settings, given)


def _serve(settings: CoreSettings) -> int:
    from rooklug.runtime.host import Host
    from rooklug.runtime.process import run_process

    node = settings.node
    host = Host(
        _compose(settings, _context(node.node_id)),
        listen_internal=node.listen_internal,
        listen_http=node.listen_http,
        bind_ip=node.bind_ip,
        data_folder=node.data_folder if node.role == ROLE_CORE else "",
        node_id=node.node_id,
        log_level=node.log_level,
    )
    return run_process(host)


def _context(node_id: str) -> ProcessContext:
    return ProcessContext(
        node_id=node_id,
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        random=Random(secrets.randbits(64)),
        identifiers=Identifiers(),
        wall_clock_ms=lambda: int(time.time() * 1000),
    )


def _compose(settings: CoreSettings, context: ProcessContext) -> CompositeReducer:
    if settings.node.role == ROLE_CORE:
        return compose.compose_core(settings, context)
    if settings.node.role == ROLE_FRONT:
        return compose.compose_front(settings.node, context)
    return compose.compose_controller(settings.node, context)
