"""KNOWN-RED.txt lets exactly the tests pass over that its entries name, in their one form."""

import importlib.util
import unittest
from pathlib import Path

SCRIPT = Path(__file__).resolve().parent.parent / "scripts" / "run_tests.py"
SPECIFICATION = importlib.util.spec_from_file_location("run_tests", SCRIPT)
run_tests = importlib.util.module_from_spec(SPECIFICATION)
SPECIFICATION.loader.exec_module(run_tests)

TEST = "tests.test_a.Case.test_b | nose2 tests.test_a, seed 3 | two plans differ | issue 21"
PLAY = "play nilepay quick | gate large | not played | issue 21"


class KnownRedFile(unittest.TestCase):
    def test_entries_of_the_form_are_read(self):
        entries, problems = run_tests.read_known_red(f"{TEST}\n\n{PLAY}\n")
        self.assertEqual(problems, [])
        self.assertEqual(
            [entry.what for entry in entries], ["tests.test_a.Case.test_b", "play nilepay quick"]
        )

    def test_every_other_line_is_a_problem(self):
        for line in (
            "tests.test_a.Case.test_b: seen: issue 21",
            "tests.test_a.Case.test_b | seen | issue 21",
            "tests.test_a.Case.test_b |  | seen | issue 21",
            "tests.test_a.Case.test_b | command | seen | later",
            "test_b | command | seen | issue 21",
            "tests.* | command | seen | issue 21",
            "two faults: tests.test_a and tests.test_c | command | seen | issue 21",
        ):
            with self.subTest(line):
                entries, problems = run_tests.read_known_red(line)
                self.assertEqual((entries, len(problems)), ([], 1))

    def test_an_entry_stands_once(self):
        entries, problems = run_tests.read_known_red(f"{TEST}\n{TEST}\n")
        self.assertEqual((len(entries), len(problems)), (1, 1))

    def test_a_test_that_does_not_exist_is_missing(self):
        entries, _ = run_tests.read_known_red(f"{TEST}\n{PLAY}\n")
        self.assertEqual(run_tests.missing_tests(entries, set()), ["tests.test_a.Case.test_b"])
        self.assertEqual(run_tests.missing_tests(entries, {"tests.test_a.Case.test_b"}), [])
