"""The platform watcher: polling, delay of sudden losses, strict parsing of the list."""

import json
import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from rooklug.controller.platform_listing import read_listing
from rooklug.model import topics
from tests.controller_stand_ins import PLATFORM, FakePlatform
from tests.controller_world import World, fleet

WATCHER = (topics.ROLE_PLATFORM_WATCHER,)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def listed_ids(world):
    return [r.replica_id for r in world.published(topics.REPLICAS)[-1].body.replicas]


def leaving_ids(world):
    body = world.published(topics.REPLICAS)[-1].body
    return [r.replica_id for r in body.replicas if r.leaving]


class Polling(unittest.TestCase):
    def setUp(self):
        self.world = World(fleet(), roles=WATCHER)
        self.world.run(2.0)

    def change(self, **changes):
        for name, value in changes.items():
            setattr(self.world.platform, name, value)
        self.world.platform.version += 1

    def test_publishes_once_while_nothing_changes(self):
        self.world.run(10.0)
        self.assertEqual(len(self.world.published(topics.REPLICAS)), 1)
        self.assertEqual(len(listed_ids(self.world)), 9)

    def test_polls_no_more_often_than_the_long_poll_wait(self):
        before = len(self.world.http)
        self.world.run(10.0)
        self.assertLessEqual(len(self.world.http) - before, 21)

    def test_leaving_is_published_within_a_second(self):
        self.change(leaving={"v1"})
        self.assertTrue(self.world.run(1.0, until=lambda: leaving_ids(self.world)))

    def test_invalid_lists_change_nothing(self):
        for invalid_answer in (b"", b"{", b"[]", b'{"version":1,"replicas":[{}]}', b"\xff"):
            self.change(invalid_answer=invalid_answer)
            self.world.run(1.0)
        self.assertEqual(len(self.world.published(topics.REPLICAS)), 1)
        figures = {m.name: m.value for m in self.world.component("platform-watcher").metrics(0.0)}
        self.assertGreater(figures["rooklug_platform_bad_lists_total"], 4)

    def test_one_replica_gone_is_published_at_once(self):
        self.change(unlisted={"v1"})
        self.world.run(1.0)
        self.assertEqual(len(listed_ids(self.world)), 8)

    def test_an_empty_list_is_delayed_and_then_published(self):
        self.change(unlisted=set(self.world.replicas))
        self.world.run(9.0)
        self.assertEqual(len(listed_ids(self.world)), 9)
        self.world.run(3.0)
        self.assertEqual(len(listed_ids(self.world)), 0)

    def test_a_transient_empty_list_is_not_published(self):
        self.change(unlisted=set(self.world.replicas))
        self.world.run(5.0)
        self.change(unlisted=set())
        self.world.run(20.0)
        self.assertEqual(len(self.world.published(topics.REPLICAS)), 1)

    def test_leaving_marks_of_a_suspicious_list_are_published(self):
        gone = {"v0", "v2", "v3", "a0", "a1", "a2"}
        self.change(unlisted=gone, leaving={"v1"})
        self.world.run(1.0)
        self.assertEqual(leaving_ids(self.world), ["v1"])
        self.assertEqual(len(listed_ids(self.world)), 9)

    def test_a_new_owner_delays_a_sudden_loss_too(self):
        self.change(unlisted=set(self.world.replicas))
        self.world.grant_role(topics.ROLE_PLATFORM_WATCHER, 2)
        self.world.run(2.0)
        self.assertEqual(len(listed_ids(self.world)), 9)

    def test_an_unresponsive_platform_is_polled_again_and_the_list_is_kept(self):
        self.world.platform.unresponsive = True
        self.world.run(10.0)
        self.world.platform.unresponsive = False
        self.change(leaving={"v1"})
        self.assertTrue(self.world.run(2.5, until=lambda: leaving_ids(self.world)))

    def test_republishes_after_taking_the_role(self):
        self.world.grant_role(topics.ROLE_PLATFORM_WATCHER, 2)
        self.world.run(2.0)
        self.assertEqual([p.token for p in self.world.link.publications], [(1, 1), (1, 2)])

    def test_an_expired_lease_stops_polls_by_the_own_clock(self):
        self.world.link.until[topics.ROLE_PLATFORM_WATCHER] = self.world.now + 1.0
        end = self.world.now + 1.0
        self.world.run(10.0)
        late = [at for at, call in self.world.http if at > end and call.address == PLATFORM]
        self.assertEqual(late, [])


class ListingCodec(unittest.TestCase):
    def good(self):
        return json.loads(FakePlatform(replicas={r.replica_id: r for r in fleet()}).body())

    @seed(1)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.binary(max_size=64) | JSON.map(lambda value: json.dumps(value).encode()))
    def test_any_bytes_give_a_result(self, body):
        outcome = read_listing(body)
        self.assertTrue(outcome.is_ok() or outcome.error.message is not None)

    @seed(1)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.sampled_from(["replica_id", "address", "kind", "zone", "leaving"]), JSON)
    def test_a_replaced_field_is_rejected_unless_valid(self, field, value):
        document = self.good()
        document["replicas"][0][field] = value
        outcome = read_listing(json.dumps(document).encode())
        if outcome.is_ok():
            self.assertIs(type(value), type(self.good()["replicas"][0][field]))
            self.assertIn(value, [getattr(r, field) for r in outcome.ok.replicas])

    def test_extreme_numbers_and_nesting_are_rejected(self):
        for body in (
            b'{"version":1e400,"replicas":[]}',
            b'{"version":' + b"9" * 5000 + b',"replicas":[]}',
            b"[" * 100000,
            b'{"version":true,"replicas":[]}',
        ):
            self.assertTrue(read_listing(body).is_error(), body[:40])

    def test_huge_units_are_rejected(self):
        document = self.good()
        document["replicas"][0]["resource_units"] = 10**400
        self.assertTrue(read_listing(json.dumps(document).encode()).is_error())

    def test_duplicate_ids_are_rejected(self):
        document = self.good()
        document["replicas"].append(document["replicas"][0])
        self.assertTrue(read_listing(json.dumps(document).encode()).is_error())
