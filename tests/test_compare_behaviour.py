"""compare_behaviour: reports a difference in behaviour and ignores renamed classes and fields."""

import importlib.util
import unittest
from pathlib import Path
from types import ModuleType

import attrs

SCRIPTS = Path(__file__).resolve().parent.parent / "scripts"


def load_script(name: str) -> ModuleType:
    spec = importlib.util.spec_from_file_location(name, SCRIPTS / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


compare_behaviour = load_script("compare_behaviour")
trace_behaviour = load_script("trace_behaviour")


@attrs.frozen
class Before:
    wait_s: float
    names: frozenset[str]


@attrs.frozen
class After:
    delay_s: float
    owners: frozenset[str]


class CanonicalTest(unittest.TestCase):
    def setUp(self) -> None:
        trace_behaviour.RENAMED_CLASSES["Before"] = "After"
        self.addCleanup(trace_behaviour.RENAMED_CLASSES.pop, "Before")

    def test_renamed_class_and_fields_compare_equal(self) -> None:
        names = frozenset({"b", "a"})
        before = trace_behaviour.canonical(Before(1.5, names))
        self.assertEqual("After(1.5,{'a','b'})", before)
        self.assertEqual(before, trace_behaviour.canonical(After(1.5, names)))

    def test_different_value_compares_unequal(self) -> None:
        first = trace_behaviour.canonical(After(1.5, frozenset()))
        self.assertNotEqual(first, trace_behaviour.canonical(After(1.25, frozenset())))


class FirstDifferenceTest(unittest.TestCase):
    def test_equal_outputs_have_no_difference(self) -> None:
        self.assertIsNone(compare_behaviour.first_difference("a\nb\n", "a\nb\n"))

    def test_first_differing_line_is_reported(self) -> None:
        found = compare_behaviour.first_difference("a\nb\nc\n", "a\nx\nc\n")
        self.assertEqual(compare_behaviour.Difference(1, "b", "x"), found)

    def test_missing_line_is_a_difference(self) -> None:
        found = compare_behaviour.first_difference("a\nb\n", "a\n")
        self.assertEqual(compare_behaviour.Difference(1, "b", ""), found)
