"""Reading an operator's document reports all problems, with their paths."""

import json
import unittest

from rooklug.config.document import Configuration, RouteKind
from rooklug.config.document_reader import read_configuration
from rooklug.config.examples import EXAMPLE_NAMES, read_example
from rooklug.model.constants import MAX_DOCUMENT_BYTES, MAX_JSON_DEPTH


def problems_of(document: object) -> dict[str, str]:
    data = document if isinstance(document, bytes) else json.dumps(document).encode()
    result = read_configuration(data)
    return {problem.path: problem.message for problem in result.error} if result.is_error() else {}


class ReadingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.payroll = json.loads(read_example("payroll"))

    def test_examples_are_valid(self) -> None:
        for name in EXAMPLE_NAMES:
            result = read_configuration(read_example(name))
            self.assertTrue(result.is_ok(), result)
            self.assertIsInstance(result.ok, Configuration)
        lookup = read_configuration(read_example("payroll")).ok.routes["payslip-lookup"]
        self.assertIs(lookup.kind, RouteKind.ONCE)
        self.assertEqual(lookup.home_regions, ("cairo", "alexandria"))

    def test_all_structural_problems_are_listed(self) -> None:
        self.payroll["surprise"] = 1
        self.payroll["regions"]["cairo"]["zones"] = "cairo-a"
        self.payroll["routes"]["payslip-notes"]["kind"] = "maybe"
        self.payroll["routes"]["payslip-notes"]["priority"] = 1.5
        self.payroll["routes"]["payslip-lookup"]["home_regions"][1] = 7
        self.payroll["models"]["notes-small"]["resources"]["gpu-large"]["units"] = True
        del self.payroll["models"]["contracts-large"]["latency_classes"]
        self.payroll["limits"] = []
        self.assertEqual(
            set(problems_of(self.payroll)),
            {
                "surprise",
                "regions.cairo.zones",
                "routes.payslip-notes.kind",
                "routes.payslip-notes.priority",
                "routes.payslip-lookup.home_regions[1]",
                "models.notes-small.resources.gpu-large.units",
                "models.contracts-large.latency_classes",
                "limits",
            },
        )

    def test_all_cross_checks_are_listed(self) -> None:
        routes = self.payroll["routes"]
        routes["contract-review"]["home_regions"] = ["cairo", "cairo", "giza"]
        routes["deduction-question"]["model"] = "other"
        routes["payslip-notes"]["latency_class"] = "background"
        routes["payslip-notes"]["backend"] = "ledger"
        routes["payslip-lookup"]["backend"] = ""
        routes["payslip-lookup"]["deadline_s"] = 0
        routes["with space"] = {"kind": "once", "backend": "ledger"}
        self.payroll["regions"]["alexandria"]["zones"] = ["cairo-b"]
        self.payroll["regions"]["alexandria"]["round_trip_ms"] = {"cairo": 41, "giza": 5}
        self.payroll["regions"]["cairo"]["weights"]["spill"] = -0.5
        self.payroll["models"]["notes-small"]["resources"]["gpu-large"]["concurrency"] = 0
        self.payroll["models"]["contracts-large"]["resources"] = {}
        self.payroll["slow_start"] = {"first_share": 0}
        self.assertEqual(
            set(problems_of(self.payroll)),
            {
                "routes.contract-review.home_regions[1]",
                "routes.contract-review.home_regions[2]",
                "routes.deduction-question.model",
                "routes.payslip-notes.latency_class",
                "routes.payslip-notes.backend",
                "routes.payslip-lookup.backend",
                "routes.payslip-lookup.deadline_s",
                'routes["with space"]',
                "regions.alexandria.zones[0]",
                "regions.alexandria.round_trip_ms.cairo",
                "regions.alexandria.round_trip_ms.giza",
                "regions.cairo.round_trip_ms.alexandria",
                "regions.cairo.weights.spill",
                "models.notes-small.resources.gpu-large.concurrency",
                "models.contracts-large.resources",
                "slow_start.first_share",
            },
        )

    def test_one_sided_round_trip_is_rejected(self) -> None:
        del self.payroll["regions"]["cairo"]["round_trip_ms"]
        self.assertEqual(set(problems_of(self.payroll)), {"regions.cairo.round_trip_ms.alexandria"})

    def test_lenient_json_is_rejected(self) -> None:
        self.assertEqual(
            problems_of(b'{"a": {"b": 1, "b": 2}, "c": [NaN, 1e999, 9007199254740993]}'),
            {
                "a.b": "duplicate key",
                "c[0]": "NaN is not a JSON number",
                "c[1]": "number too large",
                "c[2]": "integer beyond 9007199254740991",
            },
        )
        self.assertEqual(problems_of(b'{"a": "\\ud800"}'), {"a": "string with a lone surrogate"})
        self.assertEqual(problems_of(b"[" + b"1" * 5000 + b"]"), {"[0]": "number too long"})
        self.assertIn("not UTF-8", problems_of(b'{"a": "\xff"}')[""])
        for data in (b"", b"{", b'{"a": 1} x', b'"\\', b"null", b"[]", b"1", b"\xef\xbb\xbf{}"):
            self.assertEqual(list(problems_of(data)), [""], data)

    def test_limits_of_depth_and_size(self) -> None:
        deep = b"[" * 100_000
        self.assertIn("nested deeper", problems_of(deep)[""])
        brackets_in_string = json.dumps({"a": "[" * (MAX_JSON_DEPTH + 1)}).encode()
        self.assertIn("a", problems_of(brackets_in_string))
        self.assertIn("larger than", problems_of(b" " * (MAX_DOCUMENT_BYTES + 1))[""])
