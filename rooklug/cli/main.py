"""The ``rooklug`` command, with a subcommand for each role and tool."""

import argparse
import sys

from rooklug.cli.daemon import add_daemon_commands

_EXAMPLES = """examples:
  rooklug core --settings core-1.toml
  rooklug front --settings front-7.toml
  rooklug controller --settings controller-1.toml
  rooklug ctl --node 127.0.1.1:8000 status
  rooklug runbook list
"""
_TOOLS = {
    "ctl": "change and watch a running site",
    "runbook": "list, show and run the runbooks",
}


def build_parser(command: str = "") -> argparse.ArgumentParser:
    """Return the parser; a tool's options are added only if ``command`` names that tool.

    Thus a daemon's process does not load the code of the tools.
    """
    parser = argparse.ArgumentParser(
        prog="rooklug",
        description="Serving across regions for a language model.",
        epilog=_EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subcommands = parser.add_subparsers(metavar="COMMAND", required=True)
    add_daemon_commands(subcommands)
    for tool, description in _TOOLS.items():
        if tool == command:
            _add_tool(tool, subcommands)
        else:
            subcommands.add_parser(tool, help=description)
    return parser


def _add_tool(tool: str, subcommands: argparse._SubParsersAction) -> None:
    if tool == "ctl":
        from rooklug.cli.ctl import add_ctl_command

        add_ctl_command(subcommands)
    else:
        from rooklug.cli.runbook_commands import add_runbook_command

        add_runbook_command(subcommands)


def main(arguments: list[str] | None = None) -> int:
    """Run the command in ``arguments`` (default: ``sys.argv``); return its exit code."""
    given = sys.argv[1:] if arguments is None else arguments
    parsed = build_parser(given[0] if given else "").parse_args(given)
    return parsed.run(parsed)


if __name__ == "__main__":
    sys.exit(main())
