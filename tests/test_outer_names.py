"""Every name that leaves the process, or lies in a file, keeps its spelling.

``tests/data/outer_names.txt`` lists fields and values of messages, stored fields, file names,
settings, flags, environment variables, metric names, and the fields of classes that become keys.
A renamed identifier that is also one of these would break peers, operators and stored data
without failing any test that runs a single version.
"""

import ast
import json
import re
import tomllib
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LISTED = ROOT / "tests" / "data" / "outer_names.txt"
PYTHON_FOLDERS = ("rooklug", "platform", "rooklug_lab")


def _strings(node: ast.AST) -> Iterator[str]:
    if isinstance(node, ast.Constant):
        if isinstance(node.value, bytes):
            yield node.value.decode("ascii", "ignore")
        elif isinstance(node.value, str):
            yield node.value
    elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
        yield node.target.id


def _keys(value: Any) -> Iterator[str]:
    if isinstance(value, dict):
        for key, inner in value.items():
            yield key
            yield from _keys(inner)
    elif isinstance(value, list):
        for inner in value:
            yield from _keys(inner)


def _present_names() -> set[str]:
    found: set[str] = set()
    for folder in PYTHON_FOLDERS:
        for path in (ROOT / folder).rglob("*.py"):
            if "generated" not in path.parts:
                found.update(
                    name
                    for node in ast.walk(ast.parse(path.read_text()))
                    for name in _strings(node)
                )
        for path in (ROOT / folder).rglob("*.toml"):
            found.update(_keys(tomllib.loads(path.read_text())))
        for path in (ROOT / folder).rglob("*.json"):
            found.update(_keys(json.loads(path.read_text())))
    for path in (ROOT / "idl").glob("*.thrift"):
        found.update(re.findall(r"[A-Za-z_]\w+", path.read_text()))
    for path in (ROOT / "deploy").glob("*.toml"):
        found.update(_keys(tomllib.loads(path.read_text())))
    return found


class OuterNames(unittest.TestCase):
    """The list against the sources."""

    def test_each_listed_name_is_in_the_sources(self):
        listed = LISTED.read_text().split("\n")
        self.assertEqual([], sorted(set(listed) - {""} - _present_names()))


if __name__ == "__main__":
    unittest.main()
