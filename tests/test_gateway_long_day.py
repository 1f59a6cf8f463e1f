"""How the scenario long_day judges whether fronts keep up with the operators.

The tests of ``Guards`` take one mend of docs/incidents/late-front-state.md out each and check
that the scenario's oracle reports it.
"""

import unittest
from unittest import mock

from rooklug.core import member_changes
from rooklug_lab.gateway.contact import CONTACT_S, OUTER_BOUND_S, ContactRecord, Span
from rooklug_lab.gateway.front_state_oracle import CONFIGURATION_S, EVACUATION_S, fronts_keep_up
from rooklug_lab.gateway.journal import FrontState, Journal, Order
from rooklug_lab.gateway.scenarios import run_gateway_scenario

SEED_OF_LATE_CONFIGURATION = 5
SEED_OF_LOSS = 33
CORES = ("10.1.0.1", "10.2.0.1", "10.3.0.1")
FRONT = "10.1.0.2"
COLD_RATE_PER_S = 6.0


class Guards(unittest.TestCase):
    def broken_without_succession(self, seed: int) -> dict[str, list[str]]:
        never = mock.patch.object(
            member_changes.MemberChanges, "_may_succeed", lambda self, pending, now: False
        )
        with never:
            return run_gateway_scenario("long_day", seed).broken

    def test_a_successor_without_a_vote_leaves_fronts_with_an_old_configuration(self) -> None:
        self.assertIn("fronts_keep_up", self.broken_without_succession(SEED_OF_LATE_CONFIGURATION))

    def test_a_successor_without_a_vote_leaves_a_group_that_stands_still(self) -> None:
        self.assertIn("newest_is_read_back", self.broken_without_succession(SEED_OF_LOSS))


class Contact(unittest.TestCase):
    """Which machines are in touch, by the users' words."""

    def setUp(self) -> None:
        self.contact = ContactRecord(len(CORES), cores={ip: Span(0.0) for ip in CORES})

    def is_late(self, now: float, since: float = 10.0) -> bool:
        return self.contact.is_late(FRONT, since, CONFIGURATION_S, now)

    def test_a_calm_machine_is_late_after_the_bound(self) -> None:
        self.assertFalse(self.is_late(10.0 + CONFIGURATION_S))
        self.assertTrue(self.is_late(10.1 + CONFIGURATION_S))

    def test_a_machine_that_was_disturbed_a_moment_ago_is_not_late(self) -> None:
        self.contact.record_fault(FRONT, 11.0, 12.0, absent=False)
        self.assertFalse(self.is_late(12.0 + CONTACT_S))
        self.assertTrue(self.is_late(12.1 + CONTACT_S))

    def test_a_machine_that_misses_a_core_with_a_majority_is_not_late(self) -> None:
        self.contact.record_cut([FRONT], [CORES[2]], 9.0, 30.0)
        self.assertFalse(self.is_late(20.0))

    def test_a_core_that_is_cut_off_need_not_be_reached(self) -> None:
        self.contact.record_cut([FRONT, *CORES[:2]], [CORES[2]], 9.0, 30.0)
        self.assertTrue(self.is_late(20.0))

    def test_an_unstable_group_with_a_majority_has_the_longer_bound(self) -> None:
        self.contact.record_fault(CORES[0], 11.0, 30.0, absent=True)
        self.contact.record_fault(CORES[0], 16.0, 17.0, absent=False)
        self.assertFalse(self.is_late(10.0 + CONFIGURATION_S + OUTER_BOUND_S))
        self.assertTrue(self.is_late(10.1 + CONFIGURATION_S + OUTER_BOUND_S))

    def test_without_a_majority_nothing_is_late(self) -> None:
        for ip in CORES[:2]:
            self.contact.record_fault(ip, 11.0, 40.0, absent=True)
        self.assertFalse(self.is_late(35.0))


class Oracle(unittest.TestCase):
    def judge(self, at: float, *, version: int = 2, drained: frozenset[str] = frozenset()) -> list:
        contact = ContactRecord(len(CORES), cores={ip: Span(0.0) for ip in CORES})
        journal = Journal(contact=contact)
        journal.orders = [
            Order("change", version=2, sent_at=9.9, acknowledged_at=10.0),
            Order("empty", zone="north-a", sent_at=9.9, acknowledged_at=10.0),
            Order("restore", zone="north-a", sent_at=30.0, acknowledged_at=30.1),
        ]
        journal.front_states = [FrontState(at, "front-1", FRONT, version, drained)]
        return list(fronts_keep_up(journal, COLD_RATE_PER_S))

    def test_an_old_configuration_is_reported(self) -> None:
        self.assertEqual(len(self.judge(10.1 + CONFIGURATION_S, version=1)), 1)
        self.assertEqual(self.judge(10.1 + CONFIGURATION_S), [])

    def test_a_front_that_may_send_to_a_drained_zone_is_reported(self) -> None:
        self.assertEqual(len(self.judge(10.1 + EVACUATION_S)), 1)
        self.assertEqual(self.judge(10.1 + EVACUATION_S, drained=frozenset({"north-a"})), [])
        self.assertEqual(self.judge(30.1), [])
