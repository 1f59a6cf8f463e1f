"""The voting members: cores that join, are replaced, or return after they were replaced."""

import unittest
from itertools import permutations

from rooklug.core.constants import JOIN_INTERVAL_S
from rooklug.core.quorum import has_quorum, majority, readers_needed
from rooklug.core.types import CoreMember, MemberDisk, Position, Promise, View
from rooklug.core.witness_rules import MemberChange, choose_view
from rooklug.engine import events as ev
from tests.core_cluster import Cluster
from tests.core_faults import Replacements, run_seed
from tests.core_machine import CORE_IDS, LATER_IDS
from tests.core_oracle import OperatorChange, Oracle

SIX = (*CORE_IDS, *LATER_IDS[:3])
SEEDS = 12
BETWEEN_REGIONS_S = (0.02, 0.06)
"""Least and most delay of a message."""
CATCH_UP_S = 4.0
"""What the users' pages give a new core (``catch_up_s``)."""


class MembersTestCase(unittest.TestCase):
    def begin(self, core_ids=CORE_IDS, min_in_sync_replicas=2, seed=1, zones=None) -> None:
        self.cluster = Cluster(seed, core_ids=core_ids, min_in_sync_replicas=min_in_sync_replicas)
        self.cluster.zones = zones or {}
        self.oracle = Oracle(self.cluster)
        self.cluster.start_all()

    def members(self) -> set[str]:
        primary = self.cluster.primary()
        if primary is None or primary.component.primary.view.previous:
            return set()
        return set(primary.component.primary.view.member_ids)

    def all_in_sync(self) -> bool:
        primary = self.cluster.primary()
        if primary is None:
            return False
        in_sync = {disk.core_id for disk in primary.component.primary.view.in_sync}
        return in_sync == self.members() == set(self.cluster.cores)

    def wait_all_in_sync(self, seconds: float) -> None:
        in_sync = self.cluster.run(self.cluster.now + seconds, self.all_in_sync)
        self.assertTrue(in_sync, f"members {self.members()} of {set(self.cluster.cores)}")

    def change(self, version: int, seconds: float = 5.0) -> None:
        operator_change = OperatorChange(version, b"{%d}" % version, None)

        def send() -> None:
            if not operator_change.accepted and self.cluster.primary() is not None:
                self.oracle.send(operator_change, self.cluster.primary().core_id)
            if not operator_change.accepted:
                self.cluster.schedule(0.2, send)

        send()
        taken = self.cluster.run(self.cluster.now + seconds, lambda: operator_change.accepted)
        self.assertTrue(taken, f"change {version} was not accepted")


class Joining(MembersTestCase):
    def test_six_cores_with_three_seeds_all_become_members(self):
        self.begin(SIX, min_in_sync_replicas=3)
        self.wait_all_in_sync(6.0)
        self.change(1)

    def test_six_cores_tolerate_the_loss_of_two(self):
        self.begin(SIX, min_in_sync_replicas=3)
        self.wait_all_in_sync(6.0)
        self.change(1)
        primary = self.cluster.primary().core_id
        other = next(core_id for core_id in SIX if core_id != primary)
        self.cluster.crash(primary)
        self.cluster.crash(other)
        self.change(2)
        self.assertGreaterEqual(len(self.cluster.primary().component.primary.view.in_sync), 3)

    # Guards against fronts stuck at a dead core: the members topic named its address twice.
    def test_a_member_that_asked_again_while_it_joined_is_not_added_twice(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.cluster = Cluster(
                    seed, core_ids=SIX, min_in_sync_replicas=3, delay=BETWEEN_REGIONS_S
                )
                self.start_within(JOIN_INTERVAL_S)
                self.assertFalse(self.cluster.run(8.0, self.has_repeated_member))
                self.assertEqual(self.members(), set(SIX))

    def start_within(self, seconds: float) -> None:
        for core_id in self.cluster.cores:
            delay_s = self.cluster.random.uniform(0.0, seconds)
            self.cluster.schedule(delay_s, lambda core_id=core_id: self.cluster.start(core_id))

    def has_repeated_member(self) -> bool:
        primary = self.cluster.primary()
        ids = [m.core_id for m in primary.component.primary.view.members] if primary else []
        return len(ids) != len(set(ids))

    def test_a_core_that_is_lost_for_good_is_replaced(self):
        self.begin()
        self.wait_all_in_sync(3.0)
        self.change(1)
        self.cluster.replace(self.cluster.primary().core_id, "core-d")
        self.wait_all_in_sync(8.0)
        self.change(2)
        victim = next(iter(self.members() - {self.cluster.primary().core_id, "core-d"}))
        self.cluster.crash(victim)
        self.change(3)
        self.assertIn(
            "core-d", {d.core_id for d in self.cluster.primary().component.primary.view.in_sync}
        )

    def test_all_founders_can_be_replaced_in_turn(self):
        self.begin()
        self.wait_all_in_sync(3.0)
        for number, (old, new) in enumerate(zip(CORE_IDS, LATER_IDS, strict=False)):
            self.change(number + 1)
            self.cluster.replace(old, new)
            self.wait_all_in_sync(8.0)
        self.change(9)
        self.assertEqual(self.members(), set(LATER_IDS[:3]))

    def test_a_planned_replacement_joins_before_the_old_core_leaves(self):
        for old in CORE_IDS:
            with self.subTest(old=old):
                self.begin()
                self.wait_all_in_sync(3.0)
                self.cluster.add("core-d")
                self.cluster.run(self.cluster.now + 2.0)
                self.assertEqual(self.members(), set(CORE_IDS))
                self.cluster.deliver(old, ev.StopRequested())
                self.cluster.run(self.cluster.now + 0.8)
                self.cluster.remove(old)
                self.wait_all_in_sync(1.5)
                other = next(i for i in CORE_IDS if i != old)
                self.cluster.crash(other)
                self.change(1)

    def test_a_member_that_was_replaced_while_down_joins_again(self):
        self.begin()
        self.wait_all_in_sync(3.0)
        self.cluster.crash("core-c")
        self.cluster.run(self.cluster.now + 2.0)
        self.cluster.add("core-d")
        self.cluster.run(self.cluster.now + 4.0)
        self.assertEqual(self.members(), {"core-a", "core-b", "core-d"})
        self.cluster.start("core-c")
        self.cluster.run(self.cluster.now + 2.0)
        self.assertEqual(self.members(), {"core-a", "core-b", "core-d"})
        self.cluster.crash("core-d")
        self.cluster.remove("core-d")
        self.wait_all_in_sync(5.0)
        self.change(1)


class Succession(MembersTestCase):
    """A new core in the zone of a running member, which is removed once the new one has had time.

    From then on the removed core doesn't count as lost any more (the users' rules), so another
    one may fail at once.
    """

    def begin_in_zones(self, seed: int) -> None:
        self.begin(seed=seed, zones={core_id: f"zone-{core_id}" for core_id in CORE_IDS})
        self.wait_all_in_sync(3.0)
        self.change(1)

    def add_successor(self, old: str) -> None:
        self.cluster.zones["core-d"] = f"zone-{old}"
        self.cluster.add("core-d")
        self.cluster.run(self.cluster.now + CATCH_UP_S)

    # Guards against a group without a primary after a planned replacement: fronts serve old state.
    def test_a_core_fails_right_after_another_was_replaced_as_planned(self):
        for seed, (old, failing) in enumerate(permutations(CORE_IDS, 2)):
            with self.subTest(old=old, failing=failing):
                self.begin_in_zones(seed)
                self.add_successor(old)
                self.change(2)
                self.cluster.remove(old)
                self.cluster.crash(failing)
                self.change(3)

    # Guards against a successor that never votes, since its predecessor was elected again.
    def test_the_primary_itself_is_succeeded(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.begin_in_zones(seed)
                old = self.cluster.primary().core_id
                self.add_successor(old)
                self.assertEqual(self.members(), (set(CORE_IDS) - {old}) | {"core-d"})

    def test_the_predecessor_stands_by_and_returns_if_its_successor_is_lost(self):
        for seed, old in enumerate(CORE_IDS):
            with self.subTest(old=old):
                self.begin_in_zones(seed)
                self.add_successor(old)
                rest = set(CORE_IDS) - {old}
                self.assertEqual(self.members(), rest | {"core-d"})
                self.cluster.crash("core-d")
                self.cluster.remove("core-d")
                self.wait_all_in_sync(5.0)
                self.assertEqual(self.members(), set(CORE_IDS))

    def test_a_core_of_another_zone_waits_until_a_member_is_gone(self):
        self.begin_in_zones(1)
        self.cluster.zones["core-d"] = "zone-new"
        self.cluster.add("core-d")
        self.cluster.run(self.cluster.now + CATCH_UP_S)
        self.assertEqual(self.members(), set(CORE_IDS))


class FirstStart(MembersTestCase):
    def test_blank_cores_do_not_form_a_second_cluster(self):
        self.begin()
        self.cluster.run(0.0)
        for core_id in CORE_IDS:
            self.cluster.crash(core_id)
            self.cluster.lose_disk(core_id)
        self.cluster.first_start = False
        self.cluster.start_all()
        self.assertFalse(self.cluster.run(30.0, lambda: self.cluster.primary() is not None))

    def test_cores_form_one_cluster_in_any_start_order(self):
        for seed in range(20):
            self.cluster = Cluster(seed, delay=(0.001, 0.04))
            self.oracle = Oracle(self.cluster)
            for core_id in CORE_IDS:
                delay = self.cluster.random.uniform(0.0, 0.3)
                self.cluster.schedule(delay, lambda core_id=core_id: self.cluster.start(core_id))
            self.assertTrue(self.cluster.run(2.0, lambda: self.cluster.primary() is not None))


class ComingBack(MembersTestCase):
    """All processes end at the same time and restart: the time until there is a primary."""

    def restart_time_s(self, wiped: bool, seed: int) -> float:
        self.begin(seed=seed)
        self.wait_all_in_sync(3.0)
        self.change(1)
        primary = self.cluster.primary().core_id
        for core_id in CORE_IDS:
            self.cluster.crash(core_id)
        if wiped:
            self.cluster.lose_disk(primary)
        self.cluster.first_start = False
        for core_id in CORE_IDS:
            delay = self.cluster.random.uniform(0.0, 0.4)
            self.cluster.schedule(delay, lambda core_id=core_id: self.cluster.start(core_id))
        began = self.cluster.now + 0.4
        self.assertTrue(self.cluster.run(began + 10.0, lambda: self.cluster.primary() is not None))
        self.change(2)
        return self.cluster.now - began

    def test_the_old_primary_leads_again_without_waiting_for_a_lease(self):
        for seed in range(20):
            self.assertLess(self.restart_time_s(False, seed), 0.6)

    def test_a_primary_that_lost_its_disk_does_not_delay_the_others(self):
        for seed in range(20):
            self.assertLess(self.restart_time_s(True, seed), 1.2)


class FullDisk(MembersTestCase):
    def test_a_core_whose_disk_was_full_votes_again_after_a_restart(self):
        self.begin()
        self.wait_all_in_sync(3.0)
        self.cluster.exits_on_failed_write = True
        self.cluster.first_start = False
        for core_id in CORE_IDS:
            self.cluster.crash(core_id)
            self.cluster.start(core_id)
        self.wait_all_in_sync(5.0)
        full = self.cluster.primary().core_id
        self.cluster.cores[full].disk.full = True
        self.change(1)
        self.assertTrue(self.cluster.run(self.cluster.now + 2.0, lambda: not self.is_alive(full)))
        self.cluster.cores[full].disk.full = False
        self.cluster.start(full)
        self.wait_all_in_sync(5.0)
        other = next(core_id for core_id in CORE_IDS if core_id != full)
        self.cluster.crash(other)
        self.change(2)

    def is_alive(self, core_id: str) -> bool:
        return self.cluster.cores[core_id].alive


class UnderFaults(unittest.TestCase):
    def test_all_guarantees_hold_while_members_change(self):
        counts = {}
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                oracle, faults = run_seed(seed, kind=Replacements)
                self.assertTrue(oracle.acknowledged)
                for kind, count in faults.counts.items():
                    counts[kind] = counts.get(kind, 0) + count
        self.assertGreater(counts.get("replaced", 0), 1)
        self.assertGreater(counts.get("replaced as planned", 0), 1)

    def test_all_guarantees_hold_with_six_cores(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                oracle, _ = run_seed(seed, core_ids=SIX, min_in_sync_replicas=3)
                self.assertTrue(oracle.acknowledged)


class Votes(unittest.TestCase):
    def test_majorities(self):
        self.assertEqual([majority(n) for n in range(1, 8)], [1, 2, 2, 3, 3, 4, 4])
        self.assertEqual([readers_needed(n) for n in range(1, 8)], [1, 1, 2, 2, 3, 3, 4])
        old, new = {"a", "b", "c"}, {"a", "b", "d"}
        self.assertFalse(has_quorum({"a", "d"}, [old, new]))
        self.assertTrue(has_quorum({"a", "b"}, [old, new]))

    def test_a_member_that_joins_again_makes_no_other_member_leave(self):
        disks = [MemberDisk(core_id, f"disk-{core_id}") for core_id in CORE_IDS]
        members = tuple(CoreMember(core_id, f"{core_id}:7000") for core_id in CORE_IDS)
        view = View(4, CORE_IDS[0], tuple(disks), members)
        own, *others = (Promise(disk, view, Position(4, 7)) for disk in disks)
        again = MemberChange(joiner=members[1], leaver=CORE_IDS[2])
        chosen = choose_view(7, own, others, change=again)
        self.assertEqual((chosen.members, chosen.previous), (members, ()))
