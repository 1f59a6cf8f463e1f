"""No entry of the platform's list ends a process or costs the other entries."""

import json
import unittest

from hypothesis import example, given
from hypothesis import strategies as st

from rooklug.gateway.protocols import ListingPage
from rooklug.wire.codec import decode, encode
from rooklug.wire.generated.control.ttypes import ReplicasBody
from tests import hostile_input
from tests.hostile_input import RawNumber, json_text
from tests.platform_documents import control
from tests.wire_bounds import problems_of_fields

ENTRY = {
    "identifier": "i-1",
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "b",
    "version": "v1",
    "slots": 128,
    "state": "ready",
    "cold_remaining_ms": 0,
}
GOOD = {**ENTRY, "identifier": "i-good", "address": "10.128.0.10:8080"}
LONG = RawNumber(hostile_input.LONG_DIGITS)
HOSTILE_FIELDS = {
    "identifier": [7, ["i-1"], None, "", "i-\ud83d", "i 1", "i-1\r\nX-Other: 1", "é", "i" * 500],
    "service": ["\ud83d", 5, [], None, "", "s" * 5000],
    "address": [
        "\ud83d:80",
        "10.0.0.1",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "host:80",
        ":80",
        80,
        None,
    ],
    "zone": ["\ud83d", 3, ["b"], {}, None],
    "state": [1, None, "\ud83d"],
    "slots": [2**31, 2**63, 1.5, "many", -1, True, LONG],
    "cold_remaining_ms": [
        RawNumber("1e30"),
        RawNumber("Infinity"),
        RawNumber("NaN"),
        RawNumber("1e400"),
        2**63,
        "soon",
        True,
        LONG,
    ],
}


def read(entries: list, next_page=None) -> ListingPage | None:
    body = json_text({"instances": entries, "next_page_token": next_page})
    return control.listing_reader({"b": "south"})(body)


class ListEntries(unittest.TestCase):
    def test_an_entry_that_cannot_be_used_is_left_out_and_the_others_stay(self):
        # Such an entry ended the cores and fronts of all machines, or cost the whole list.
        for field, bad_values in HOSTILE_FIELDS.items():
            for value in bad_values:
                with self.subTest(field, value=str(type(value))):
                    page = read([{**ENTRY, field: value}, GOOD])
                    self.assertEqual([r.replica_id for r in page.replicas], ["i-good"])
                    (reason,) = page.rejected
                    self.assertTrue(reason.isascii())
                    self.assertLess(len(reason), 300)

    def test_entries_that_are_no_objects_are_left_out(self):
        page = read([None, [], "i-1", 7, {}, GOOD])
        self.assertEqual((len(page.replicas), len(page.rejected)), (1, 5))

    def test_bytes_that_are_not_utf8_cost_only_their_entry(self):
        body = b'{"instances":[%s,%s]}' % (
            json_text(ENTRY).replace(b'"i-1"', b'"i-\xff"'),
            json_text(GOOD),
        )
        page = control.listing_reader({})(body)
        self.assertEqual([r.replica_id for r in page.replicas], ["i-good"])

    def test_a_body_that_is_no_list_is_unreadable(self):
        for body in (b"", b"{}", b"[]", b"\xff", b"[" * 100_000, b'{"instances":{}}', b"nul"):
            self.assertIsNone(control.listing_reader({})(body))
        large = json_text({"instances": [GOOD], "padding": "x" * control.MAX_LIST_PAGE_BYTES})
        self.assertIsNone(control.listing_reader({})(large))
        for token in ([], 7, {"a": 1}, "\ud83d", "t" * 5000):
            self.assertIsNone(read([GOOD], token))

    def test_a_page_token_cannot_change_the_request(self):
        self.assertEqual(control.listing_path("p-50"), "/instances?page_token=p-50")
        path = control.listing_path("a b\r\nHost: x&zone=é")
        self.assertEqual(path, "/instances?page_token=a%20b%0D%0AHost:%20x%26zone=%C3%A9")

    def test_fractions_and_past_ends_of_a_slow_start_are_accepted(self):
        for value, expected in ((1500.5, 1500), (-3, 0), (None, 0), (2**53 - 1, 2**53 - 1)):
            (replica,) = read([{**ENTRY, "cold_remaining_ms": value}]).replicas
            self.assertEqual(replica.cold_ms, expected)

    @given(
        st.lists(
            hostile_input.values() | hostile_input.changed(ENTRY, hostile_input.paths_of(ENTRY)),
            max_size=4,
        )
    )
    @example([{**ENTRY, "slots": 2**31}])
    @example([{**ENTRY, "cold_remaining_ms": RawNumber("1e30")}])
    def test_what_is_accepted_can_be_sent_to_the_fronts(self, entries):
        page = read([*entries, GOOD])
        self.assertEqual(len(page.replicas) + len(page.rejected), len(entries) + 1)
        self.assertIn("i-good", [replica.replica_id for replica in page.replicas])
        body = ReplicasBody(replicas=list(page.replicas))
        self.assertEqual(problems_of_fields(body), [])
        self.assertEqual(decode(ReplicasBody, encode(body)).ok, body)
        for replica in page.replicas:
            json.dumps([replica.replica_id, replica.backend], ensure_ascii=False).encode()
            replica.replica_id.encode("latin-1")

    @given(st.binary(max_size=200))
    def test_any_bytes_are_a_page_or_unreadable(self, body):
        control.listing_reader({})(body)
