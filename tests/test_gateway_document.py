"""Reading and patching of the gateway's configuration document."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rooklug.gateway.document import Execution
from rooklug.gateway.document_reader import read_gateway_configuration
from rooklug.gateway.patching import apply_named_patch
from tests.gateway_support import HOST, configuration, document, route_item


def problems_of(value) -> list[str]:
    read = read_gateway_configuration(json.dumps(value).encode())
    return [f"{p.path}: {p.message}" for p in read.error] if read.is_error() else []


class Reading(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self):
        found = configuration([route_item("a", "/pay/"), route_item("b", "/pay/slips/")])
        self.assertEqual(found.find(HOST, "/pay/slips/7").name, "b")
        self.assertEqual(found.find(HOST, "/pay/x").name, "a")
        self.assertEqual(found.find(f"{HOST}:8080", "/pay/").name, "a")
        self.assertIsNone(found.find(HOST, "/pay"))
        self.assertIsNone(found.find("other.example", "/pay/x"))

    def test_the_cost_of_finding_a_route_is_bounded_by_the_longest_prefix(self):
        # A path of 60,000 slashes took a front 0.3 s, so one client could starve all others.
        class CountingPath(str):
            lookups = 0

            def __getitem__(self, key):
                CountingPath.lookups += 1
                return super().__getitem__(key)

        found = configuration([route_item("a", "/a/"), route_item("b", "/a/b/")])
        self.assertIsNone(found.find(HOST, CountingPath("/" * 60_000)))
        self.assertLessEqual(CountingPath.lookups, len("/a/b/"))
        self.assertEqual(found.find(HOST, "/a/b/" + "/" * 100).name, "b")
        self.assertEqual(found.find(HOST, "/a/b").name, "a")

    def test_resumable_streams_are_idempotent(self):
        found = configuration(
            [
                route_item("a", "/a/", execution="event_stream", resumable=True),
                route_item("b", "/b/", execution="event_stream"),
                route_item("c", "/c/", execution="repeatable"),
                route_item("d", "/d/"),
            ]
        )
        idempotent = {p: r.is_idempotent for p, r in found.routes[HOST].items()}
        self.assertEqual(idempotent, {"/a/": True, "/b/": False, "/c/": True, "/d/": False})
        self.assertIs(found.find(HOST, "/a/1").execution, Execution.EVENT_STREAM)

    def test_each_kind_of_invalid_document_is_rejected(self):
        good = route_item("a", "/a/")
        split = [{"service": "ledger", "weight": 0}, {"service": "model", "weight": 0}]
        cases = {
            "unknown service": [route_item("a", "/a/", service="nobody")],
            "same place": [good, route_item("b", "/a/")],
            "no weight": [route_item("a", "/a/", service_weights=split)],
            "no timeout": [route_item("a", "/a/", timeout_ms=0)],
            "same name": [good, route_item("a", "/b/")],
            "no host": [{**good, "host": None}],
            "unknown execution": [route_item("a", "/a/", execution="sometimes")],
        }
        self.assertEqual(problems_of(document([good])), [])
        for name, routes in cases.items():
            with self.subTest(name):
                self.assertTrue(problems_of(document(routes)))

    def test_truncated_documents_are_rejected(self):
        whole = json.dumps(document([route_item("a", "/a/")])).encode()
        for length in range(0, len(whole), 7):
            self.assertTrue(read_gateway_configuration(whole[:length]).is_error())

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        [
                            "version",
                            "routes",
                            "services",
                            "name",
                            "host",
                            "prefix",
                            "service_weights",
                            "weight",
                            "engine",
                            "limits",
                            "timeout_ms",
                        ]
                    ),
                    inner,
                    max_size=5,
                )
            ),
            max_leaves=20,
        )
    )
    @settings(max_examples=200, deadline=None)
    def test_any_json_is_read_or_rejected(self, value):
        read = read_gateway_configuration(json.dumps(value).encode())
        self.assertTrue(read.is_ok() or read.error)


class Patching(unittest.TestCase):
    def patched(self, base, patch):
        result = apply_named_patch(json.dumps(base).encode(), json.dumps(patch).encode())
        return json.loads(result.ok)

    def test_items_are_replaced_in_place_added_and_removed_by_name(self):
        base = document([route_item("a", "/a/"), route_item("b", "/b/"), route_item("c", "/c/")])
        patch = {
            "version": 2,
            "upsert": {"routes": [route_item("b", "/bb/"), route_item("d", "/d/")]},
            "remove": {"routes": ["a", "unknown"]},
        }
        result = self.patched(base, patch)
        self.assertEqual([r["name"] for r in result["routes"]], ["b", "c", "d"])
        self.assertEqual(result["routes"][0]["prefix"], "/bb/")
        self.assertEqual(result["version"], 2)
        self.assertEqual(result["services"], base["services"])

    def test_unknown_fields_are_kept(self):
        base = document([route_item("a", "/a/", later="x")], extra={"y": 1})
        result = self.patched(base, {"version": 2, "upsert": {"services": []}})
        self.assertEqual(result["extra"], {"y": 1})
        self.assertEqual(result["routes"][0]["later"], "x")

    def test_a_patch_of_invalid_shape_is_rejected(self):
        base = json.dumps(document([])).encode()
        for patch in ([], {"upsert": []}, {"upsert": {"routes": ["a"]}}, {"remove": {"routes": 1}}):
            self.assertTrue(apply_named_patch(base, json.dumps(patch).encode()).is_error())
