"""The tool that compares behaviour sees a difference and doesn't see a renamed field."""

import importlib.util
import unittest
from pathlib import Path
from types import ModuleType

import attrs

SCRIPTS = Path(__file__).resolve().parent.parent / "scripts"


def script(name: str) -> ModuleType:
    spec = importlib.util.spec_from_file_location(name, SCRIPTS / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


compare_behaviour = script("compare_behaviour")
trace_behaviour = script("trace_behaviour")


@attrs.frozen
class Before:
    wait_s: float
    names: frozenset[str]


@attrs.frozen
class After:
    delay_s: float
    owners: frozenset[str]


class Canonical(unittest.TestCase):
    def setUp(self) -> None:
        trace_behaviour.RENAMED_CLASSES["Before"] = "After"
        self.addCleanup(trace_behaviour.RENAMED_CLASSES.pop, "Before")

    def test_renamed_class_and_fields_are_equal(self) -> None:
        names = frozenset({"b", "a"})
        before = trace_behaviour.canonical(Before(1.5, names))
        self.assertEqual("After(1.5,{'a','b'})", before)
        self.assertEqual(before, trace_behaviour.canonical(After(1.5, names)))

    def test_another_value_differs(self) -> None:
        one = trace_behaviour.canonical(After(1.5, frozenset()))
        self.assertNotEqual(one, trace_behaviour.canonical(After(1.25, frozenset())))


class FirstDifference(unittest.TestCase):
    def test_equal_outputs_have_none(self) -> None:
        self.assertIsNone(compare_behaviour.first_difference("a\nb\n", "a\nb\n"))

    def test_the_first_line_that_differs_is_named(self) -> None:
        found = compare_behaviour.first_difference("a\nb\nc\n", "a\nx\nc\n")
        self.assertEqual(compare_behaviour.Difference(1, "b", "x"), found)

    def test_a_missing_line_is_a_difference(self) -> None:
        found = compare_behaviour.first_difference("a\nb\n", "a\n")
        self.assertEqual(compare_behaviour.Difference(1, "b", ""), found)
