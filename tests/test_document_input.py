"""The check of a submitted configuration or patch accepts it or names its problems; never raises.

A check that raises is answered with 503, so that the operator sends the same document for ever.
"""

import json
import unittest

from hypothesis import example, given
from hypothesis import strategies as st

from rooklug.core.documents import CheckOutcome, CheckTask, DocumentChecker
from rooklug.gateway.document import GatewayConfiguration
from rooklug.gateway.document_reader import read_gateway_configuration
from rooklug.gateway.patching import apply_named_patch
from rooklug.model.input_values import MAX_INT32
from tests import hostile_input
from tests.gateway_support import document, route_item
from tests.hostile_input import RawNumber, json_text

CHECKER = DocumentChecker(read_gateway_configuration, apply_named_patch)
SPLIT = [{"service": "ledger", "weight": 90}, {"service": "model", "weight": 10}]
BASE = document(
    [route_item("a", "/a/"), route_item("b", "/b/", service_weights=SPLIT, home_regions=["north"])],
    limits={"max_header_bytes": 16384},
    tags=["x"],
)
PATCH = {
    "version": 2,
    "upsert": {"routes": [route_item("c", "/c/")], "limits": {"max_body_bytes": 1}},
    "remove": {"routes": ["a"]},
}


def check(body: bytes, base: bytes | None = None) -> CheckOutcome:
    return CHECKER.check(CheckTask(body, base))


def with_route(**fields) -> bytes:
    return json_text(document([route_item("a", "/a/", **fields)]))


class DocumentInput(unittest.TestCase):
    def assert_rejected(self, outcome: CheckOutcome, word: str = "") -> None:
        self.assertTrue(outcome.problems)
        self.assertIn(word, " ".join(outcome.problems))

    def test_a_name_that_is_no_text_is_a_problem(self):
        # The check raised for a list or an object, and the operator got 503 for ever.
        for name in (["a"], {"a": 1}, None, 7, True):
            body = json_text(document([{**route_item("a", "/a/"), "name": name}]))
            self.assert_rejected(check(body), "$.routes[0]")

    def test_fields_of_another_type_are_problems(self):
        # An engine or home_regions that is no object or list was acknowledged and then ignored.
        services = document([])["services"]
        for engine in ([], "large", 7, True):
            changed = [services[0], {**services[1], "engine": engine}]
            body = json_text({**document([]), "services": changed})
            self.assert_rejected(check(body), "engine")
        for field, value in (
            ("home_regions", "north"),
            ("home_regions", [7]),
            ("affinity", "yes"),
            ("resumable", 1),
            ("priority", MAX_INT32 + 1),
            ("max_replicas", 2**53),
            ("timeout_ms", RawNumber("1e300")),
            ("service_weights", [{"service": ["ledger"], "weight": 1}]),
            ("service_weights", [{"service": "ledger", "weight": RawNumber("1e308")}] * 2),
            ("execution", ["at_most_once"]),
        ):
            with self.subTest(field, value=str(value)):
                self.assert_rejected(check(with_route(**{field: value})))
        self.assertEqual(check(with_route(home_regions=None, affinity=None)).problems, ())

    def test_a_patch_of_a_field_with_another_shape_is_a_problem(self):
        # Patching a number, or an object as a list, raised in the check.
        base = json_text(BASE)
        for patch in (
            {"upsert": {"version": [{"name": "a"}]}},
            {"remove": {"version": ["a"]}},
            {"upsert": {"routes": {"a": 1}}},
            {"upsert": {"limits": [{"name": "a"}]}},
            {"remove": {"limits": ["max_header_bytes"]}},
            {"upsert": {"tags": [{"name": "a"}]}},
            {"routes": 7, "upsert": {"routes": [{"name": "a"}]}},
        ):
            with self.subTest(str(patch)):
                self.assert_rejected(check(json_text({"version": 2, **patch}), base))

    def test_a_patch_of_a_field_with_an_edits_name_is_checked_against_the_document(self):
        # The patch's own ``upsert`` was taken for the document's, and the check raised.
        base = json_text({**BASE, "upsert": ["x"]})
        patch = {"version": 2, "upsert": {"upsert": {"a": 1}}}
        self.assert_rejected(check(json_text(patch), base))

    @given(hostile_input.changed(BASE, hostile_input.paths_of(BASE)))
    @example({**BASE, "routes": [{**route_item("a", "/a/"), "name": ["a"]}]})
    def test_any_document_is_accepted_or_has_problems(self, value):
        self.assert_usable(check(json_text(value)))

    @given(
        hostile_input.changed(PATCH, hostile_input.paths_of(PATCH)),
        st.sampled_from([BASE, {**BASE, "routes": None}, {"version": 1}]),
    )
    @example({"version": 2, "upsert": {"version": [{"name": "a"}]}}, BASE)
    def test_any_patch_is_accepted_or_has_problems(self, patch, base):
        self.assert_usable(check(json_text(patch), json_text(base)))

    @given(st.binary(max_size=100), st.booleans())
    def test_any_bytes_are_accepted_or_have_problems(self, body, is_patch):
        self.assert_usable(check(body, json_text(BASE) if is_patch else None))

    def assert_usable(self, outcome: CheckOutcome) -> None:
        if outcome.problems:
            "\n".join(outcome.problems).encode()
            return
        read: GatewayConfiguration = read_gateway_configuration(outcome.document).ok
        json.loads(outcome.document.decode())
        for route in read.all_routes():
            self.assertTrue(0 < route.timeout_s < float("inf"))
            self.assertTrue(0 < sum(share.weight for share in route.shares) < float("inf"))
            self.assertTrue(0 <= route.priority <= MAX_INT32)
