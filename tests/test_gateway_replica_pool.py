"""Choices in a large pool compare a bounded number of replicas."""

import unittest
from collections import Counter
from random import Random

from rooklug.gateway.prefix_cache_table import PrefixCacheTable
from rooklug.gateway.replica_pool import MAX_SMALL_POOL, RANDOM_CHOICES, RegionPool
from rooklug.gateway.requests import PrefixBlock
from rooklug.routing.hash_ring import HashRing
from rooklug_lab.policy.decision_cost import measure_decision
from tests.gateway_support import replica

SEEDS = range(20)


def pool_of(size: int) -> RegionPool:
    return RegionPool(tuple(replica(number, "replica") for number in range(size)))


class Rings(unittest.TestCase):
    def test_fronts_agree_whatever_the_order_of_their_lists(self):
        names = [f"replica-{number}" for number in range(40)]
        one = HashRing.of(names)
        other = HashRing.of(reversed(names))
        for number in range(200):
            self.assertEqual(one.owner(f"part-{number}"), other.owner(f"part-{number}"))

    def test_a_removed_member_moves_only_its_own_keys(self):
        names = [f"replica-{number}" for number in range(40)]
        before, after = HashRing.of(names), HashRing.of(names[1:])
        for number in range(500):
            key = f"part-{number}"
            if before.owner(key) != names[0]:
                self.assertEqual(before.owner(key), after.owner(key))

    def test_no_member_owns_far_more_than_its_share(self):
        names = [f"replica-{number}" for number in range(40)]
        owned = Counter(HashRing.of(names).owner(f"part-{number}") for number in range(8_000))
        self.assertEqual(40, len(owned))
        self.assertLess(max(owned.values()), 3 * 8_000 / 40)

    def test_an_empty_ring_has_no_owner(self):
        self.assertIsNone(HashRing.of([]).owner("part"))


class Pools(unittest.TestCase):
    def test_a_small_pool_is_compared_as_a_whole(self):
        self.assertFalse(pool_of(MAX_SMALL_POOL).is_large)
        self.assertTrue(pool_of(MAX_SMALL_POOL + 1).is_large)

    def test_the_owner_and_the_holders_are_always_among_the_candidates(self):
        pool = pool_of(200)
        for seed in SEEDS:
            found = pool.candidates("replica-7", ["replica-11", "replica-12"], Random(seed))
            names = [candidate.replica_id for candidate in found]
            self.assertEqual(len(names), len(set(names)))
            self.assertLessEqual({"replica-7", "replica-11", "replica-12"}, set(names))

    def test_the_number_of_candidates_is_bounded(self):
        holders = [f"replica-{number}" for number in range(8)]
        for size in (20, 200, 830):
            for seed in SEEDS:
                found = pool_of(size).candidates("replica-9", holders, Random(seed))
                self.assertLessEqual(len(found), RANDOM_CHOICES + len(holders) + 1)

    def test_unlisted_replicas_are_skipped(self):
        found = pool_of(20).candidates("gone", ["gone-too"], Random(1))
        self.assertEqual(RANDOM_CHOICES, len(found))

    def test_every_replica_is_sampled_eventually(self):
        pool, seen = pool_of(60), set()
        random = Random(1)
        for _ in range(200):
            seen |= {candidate.replica_id for candidate in pool.candidates(None, [], random)}
        self.assertEqual(60, len(seen))


class CacheUsers(unittest.TestCase):
    def test_the_most_recent_user_comes_first(self):
        table = PrefixCacheTable()
        blocks = (PrefixBlock("head", 100), PrefixBlock("own", 10))
        for name in ("a", "b", "a"):
            table.record_use(name, blocks, 1_000, 0.0)
        self.assertEqual(["a", "b"], table.users("head", 8))
        self.assertEqual(["a"], table.users("head", 1))

    def test_an_evicted_block_has_no_user(self):
        table = PrefixCacheTable()
        table.record_use("a", (PrefixBlock("first", 700),), 1_000, 0.0)
        table.record_use("a", (PrefixBlock("second", 700),), 1_000, 0.0)
        self.assertEqual([], table.users("first", 8))
        self.assertEqual(["a"], table.users("second", 8))

    def test_removed_replicas_are_forgotten(self):
        table = PrefixCacheTable()
        table.record_use("a", (PrefixBlock("first", 700),), 1_000, 0.0)
        table.record_use("b", (PrefixBlock("first", 700),), 1_000, 0.0)
        table.forget_except({"b"})
        self.assertEqual(["b"], table.users("first", 8))
        table.forget_except(set())
        self.assertEqual([], table.users("first", 8))
        self.assertEqual({}, table._users)


class Cost(unittest.TestCase):
    def test_a_decision_costs_about_the_same_at_any_size(self):
        """Compares processor time; comparing all replicas would take ten times as long."""
        small = measure_decision(65, requests=400).seconds
        large = measure_decision(830, requests=400).seconds
        self.assertLess(large, 3 * small)


if __name__ == "__main__":
    unittest.main()
