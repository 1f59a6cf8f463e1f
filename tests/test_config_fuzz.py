"""Fuzzes the configuration reader with randomly changed documents and with random bytes.

Guards against exceptions and against values that differ from the document. The oracle uses the
plain JSON: an accepted configuration has exactly the document's values and refers only to
names that it defines; the path of each problem exists in the document.
"""

import json
import re
import unittest
from enum import Enum
from typing import Any

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from rooklug.config.document import Configuration
from rooklug.config.document_reader import read_configuration
from rooklug.config.examples import EXAMPLE_NAMES, read_example
from rooklug.config.json_text import _parse_with_diagnosis, canonical_bytes, parse_json

_EXAMPLES = [json.loads(read_example(name)) for name in EXAMPLE_NAMES]
_STEP = re.compile(r'\["((?:[^"\\]|\\.)*)"\]|\[(\d+)\]|\.?([^.\[\]]+)')
_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**60), 2**60),
    st.floats(),
    st.sampled_from(["", "cairo", "contracts-large", "once", "model", "global", "é", "a b"]),
    st.sampled_from([[], {}, ["cairo"], {"cairo": 1}, [["x"]], {"": {}}]),
)


@attrs.frozen
class _Members:
    """The members of a JSON object as a list, so that a key may occur twice."""

    members: list


def written(value: Any) -> str:
    """Serialise to JSON text; objects given as ``_Members`` may have duplicate keys."""
    if isinstance(value, _Members):
        members = ",".join(f"{json.dumps(key)}:{written(inner)}" for key, inner in value.members)
        return "{" + members + "}"
    if isinstance(value, list):
        return "[" + ",".join(map(written, value)) + "]"
    return json.dumps(value)


def places(value: Any, path: tuple = ()) -> list[tuple]:
    """Return the paths of all members and elements, at any depth."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    found = []
    for key, inner in items:
        found.append((*path, key))
        if isinstance(inner, dict | list):
            found += places(inner, (*path, key))
    return found


@st.composite
def changed_documents(draw: st.DrawFn) -> Any:
    document = json.loads(json.dumps(draw(st.sampled_from(_EXAMPLES))))
    for _ in range(draw(st.integers(1, 3))):
        *parents, last = draw(st.sampled_from(places(document)))
        target = document
        for key in parents:
            target = target[key]
        action = draw(st.sampled_from(["replace", "remove", "add"]))
        if action == "replace":
            target[last] = draw(_VALUES)
        elif action == "remove":
            del target[last]
        elif isinstance(target, dict):
            target[draw(st.sampled_from(["extra", "cairo", "a.b", 'q"'])) + "x"] = draw(_VALUES)
        if not document:
            break
    return document


class FuzzTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=600)
    @given(changed_documents())
    def test_changed_documents(self, document: Any) -> None:
        result = read_configuration(json.dumps(document).encode())
        if result.is_ok():
            self.assert_same(document, result.ok)
            self.assert_references_exist(result.ok)
            return
        self.assertTrue(result.error)
        for problem in result.error:
            self.assert_path_exists(document, problem.path)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=60))
    def test_garbage_is_a_value(self, data: bytes) -> None:
        self.assertTrue(read_configuration(data).is_error())

    def assert_same(self, written: Any, read: Any) -> None:
        if isinstance(written, dict):
            for key, value in written.items():
                inner = getattr(read, key) if attrs.has(type(read)) else read[key]
                self.assert_same(value, inner)
        elif isinstance(written, list):
            self.assertEqual(len(written), len(read))
            for value, inner in zip(written, read, strict=True):
                self.assert_same(value, inner)
        else:
            read = read.value if isinstance(read, Enum) else read
            self.assertEqual(written, read)
            self.assertEqual(isinstance(written, str), isinstance(read, str))
            self.assertNotIsInstance(written, bool)

    def assert_references_exist(self, configuration: Configuration) -> None:
        regions = configuration.regions
        zones = [zone for region in regions.values() for zone in region.zones]
        self.assertEqual(len(zones), len(set(zones)))
        for name, region in regions.items():
            self.assertEqual(set(region.round_trip_ms), set(regions) - {name})
            for other, round_trip in region.round_trip_ms.items():
                self.assertEqual(regions[other].round_trip_ms[name], round_trip)
            self.assertTrue(0 <= region.weights.spill <= 1 and region.weights.serve >= 0)
        for route in configuration.routes.values():
            self.assertLessEqual(set(route.home_regions), set(regions))
            self.assertNotEqual(bool(route.model), bool(route.backend))
            if route.model:
                classes = configuration.models[route.model].latency_classes
                self.assertIn(route.latency_class, classes)

    def assert_path_exists(self, document: Any, path: str) -> None:
        steps = [
            json.loads(f'"{quoted}"') if quoted else int(index) if index else plain
            for quoted, index, plain in _STEP.findall(path)
        ]
        value, found = document, 0
        for step in steps:
            there = step in value if isinstance(value, dict) else isinstance(value, list)
            if not there:
                break
            value, found = value[step], found + 1
        # The last two steps may be missing: a section with defaults and its required member.
        self.assertGreaterEqual(found, len(steps) - 2, path)


class FastReaderTest(unittest.TestCase):
    """Compares the fast parser, which handles valid text only, with the diagnosing parser."""

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(
        st.recursive(
            _VALUES | st.text(max_size=3),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.lists(st.tuples(st.sampled_from("ab"), inner), max_size=2).map(_Members)
            ),
            max_leaves=8,
        )
    )
    def test_same_result(self, value: Any) -> None:
        data = written(value).encode("utf-8", "surrogatepass")
        fast, diagnosed = parse_json(data), _parse_with_diagnosis(data)
        self.assertEqual(fast.is_ok(), diagnosed.is_ok())
        if fast.is_ok():
            self.assertEqual(canonical_bytes(fast.ok), canonical_bytes(diagnosed.ok))
        else:
            self.assertEqual(fast.error, diagnosed.error)
