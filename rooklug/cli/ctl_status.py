"""``rooklug ctl status``: prints the cores, nodes, role owners and drained zones of a site."""

import json
import sys
from typing import Any

from rooklug.cli.operator_client import OperatorAnswer
from rooklug.cli.tables import format_table

_CORE_COLUMNS = (
    "node_id",
    "address",
    "phase",
    "epoch",
    "in_sync",
    "committed_sequence",
    "configuration_version",
    "note",
)
_NODE_COLUMNS = (
    "node_id",
    "role",
    "zone",
    "region",
    "http_address",
    "ready",
    "draining",
    "configuration_version",
)
_OWNER_COLUMNS = ("role_key", "node_id", "token")


def print_status(answer: OperatorAnswer, *, as_json: bool) -> None:
    """Print the status as tables, or the unmodified JSON of the front."""
    if as_json:
        sys.stdout.write(answer.body.decode())
        print()
        return
    print(format_status(answer.document()))


def format_status(document: dict[str, Any]) -> str:
    """Return a status document as text with tables."""
    front = document.get("front", {})
    drained = document.get("emptied_zones")
    sections = [
        f"primary: {document.get('primary') or 'none'}",
        f"emptied zones: {_zone_names(drained)}",
        f"asked front: {json.dumps(front)}",
        _section("cores", _CORE_COLUMNS, document.get("cores", [])),
        _section("nodes", _NODE_COLUMNS, document.get("nodes", [])),
        _section("roles", _OWNER_COLUMNS, document.get("role_owners", [])),
    ]
    return "\n".join(sections)


def _zone_names(zones: list[str] | None) -> str:
    if zones is None:
        return "unknown"
    return ", ".join(zones) or "none"


def _section(title: str, columns: tuple[str, ...], rows: list[dict[str, Any]]) -> str:
    cells = [[_cell(row, column) for column in columns] for row in rows]
    return f"\n{title}\n{format_table(columns, cells)}"


def _cell(row: dict[str, Any], column: str) -> str:
    if column == "note" and "unreachable" in row:
        return f"unreachable: {row['unreachable']}"
    value = row.get(column, "")
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(str(element) for element in value)
    return str(value)
