"""Which join request the primary grants, and which member leaves for it."""

import unittest
from types import SimpleNamespace

from rooklug.core.constants import REJOIN_BACKOFF_S, REPLACE_AFTER_S, SUCCESSION_PAUSE_S
from rooklug.core.follower import Follower
from rooklug.core.member_changes import MemberChanges
from rooklug.core.types import CoreMember, MemberDisk, View
from rooklug.core.witness_rules import MemberChange

PRIMARY, NEAR, FAR = "core-a", "core-b", "core-c"
NEW = CoreMember("core-d", "core-d:7000")
REQUIRED_ACKS = 2
NOW = 100.0


def zone_of(core_id: str) -> str:
    return f"zone-{core_id}"


class MemberChangesTestCase(unittest.TestCase):
    """The primary and two followers, each in a zone of its own."""

    def setUp(self) -> None:
        ids = (PRIMARY, NEAR, FAR)
        self.members = tuple(CoreMember(core_id, f"{core_id}:7000") for core_id in ids)
        disks = tuple(MemberDisk(core_id, f"disk-{core_id}") for core_id in ids)
        self.view = View(4, PRIMARY, disks, self.members)
        self.followers = {
            core_id: Follower(core_id, True, last_contact_at=NOW, zone=zone_of(core_id))
            for core_id in (NEAR, FAR)
        }
        self.changes = MemberChanges(
            SimpleNamespace(followers=self.followers),  # type: ignore[arg-type]
            zone_of(PRIMARY),
        )

    def ask(self, zone: str, member: CoreMember = NEW, now: float = NOW) -> None:
        self.changes.request_join(member, now, first_start=False, zone=zone)

    def next_change(self, now: float = NOW) -> MemberChange | None:
        return self.changes.next_change(self.view, REQUIRED_ACKS, now)

    def is_succeeded(self, now: float = NOW) -> bool:
        return self.changes.is_succeeded(self.view, REQUIRED_ACKS, now)


class Requests(MemberChangesTestCase):
    # Guards against a pointless view change, in which a member that is gone loses its place.
    def test_the_request_of_a_member_is_dropped(self) -> None:
        self.followers[FAR].last_contact_at = NOW - REPLACE_AFTER_S
        self.ask("", self.members[1])
        self.assertIsNone(self.next_change())
        self.ask("")
        self.assertEqual(self.next_change(), MemberChange(NEW, FAR))

    def test_changes_follow_each_other_after_a_pause(self) -> None:
        self.ask(zone_of(NEAR))
        self.assertIsNotNone(self.next_change())
        self.ask(zone_of(FAR), CoreMember("core-e", "core-e:7000"))
        self.assertIsNone(self.next_change(NOW + REJOIN_BACKOFF_S / 2))


class Succession(MemberChangesTestCase):
    def test_a_new_core_takes_the_place_of_its_zones_member(self) -> None:
        self.ask(zone_of(FAR))
        self.assertEqual(self.next_change(), MemberChange(NEW, FAR))

    def test_a_core_that_was_a_member_before_waits(self) -> None:
        self.ask("")
        self.assertIsNone(self.next_change())

    def test_a_new_core_waits_while_a_member_is_gone_whose_disk_is_required(self) -> None:
        self.followers[FAR].last_contact_at = NOW - REPLACE_AFTER_S
        self.view = View(4, PRIMARY, self.view.in_sync[::2], self.members)
        self.ask(zone_of(NEAR))
        self.assertIsNone(self.next_change())

    def test_a_new_core_waits_while_its_predecessors_disk_is_required(self) -> None:
        self.view = View(4, PRIMARY, self.view.in_sync[:2], self.members)
        self.ask(zone_of(NEAR))
        self.assertIsNone(self.next_change())
        self.ask(zone_of(FAR))
        self.assertEqual(self.next_change(), MemberChange(NEW, FAR))

    def test_a_new_core_waits_until_every_zone_is_known(self) -> None:
        self.followers[NEAR].zone = ""
        self.ask(zone_of(FAR))
        self.assertIsNone(self.next_change())

    def test_a_new_core_waits_in_a_zone_with_two_members(self) -> None:
        self.followers[NEAR].zone = zone_of(FAR)
        self.ask(zone_of(FAR))
        self.assertIsNone(self.next_change())

    def test_a_primary_that_is_succeeded_hands_over_and_again_only_after_a_pause(self) -> None:
        self.ask(zone_of(PRIMARY))
        self.assertTrue(self.is_succeeded())
        self.assertFalse(self.is_succeeded())
        self.assertIsNone(self.next_change())
        for now, expected in (
            (NOW + SUCCESSION_PAUSE_S / 2, False),
            (NOW + SUCCESSION_PAUSE_S, True),
        ):
            for follower in self.followers.values():
                follower.last_contact_at = now
            self.ask(zone_of(PRIMARY), now=now)
            self.assertEqual(self.is_succeeded(now), expected)

    def test_a_primary_doesnt_hand_over_for_a_core_of_another_zone(self) -> None:
        for zone in ("", zone_of(NEAR), "zone-new"):
            self.ask(zone)
            self.assertFalse(self.is_succeeded())

    def test_a_primary_doesnt_hand_over_while_its_disk_is_required(self) -> None:
        self.view = View(4, PRIMARY, self.view.in_sync[:2], self.members)
        self.ask(zone_of(PRIMARY))
        self.assertFalse(self.is_succeeded())
