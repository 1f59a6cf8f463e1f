"""Bounded exploration of view changes and replication, with and without each guard."""

import sys
import unittest
from typing import Any
from unittest import mock

import attrs

from rooklug.core import witness_rules
from rooklug.core.types import Promise, View, WitnessState
from tests import core_exploration
from tests.core_exploration import explore
from tests.core_exploration_states import (
    BrokenInvariantError,
    Budget,
    Exploration,
    Member,
    World,
    first_world,
    world_after_failover,
    world_after_partial_view_change,
)

CHOOSE_VIEW = witness_rules.choose_view
LIMIT = 12_000
COMPLETE_LIMIT = 30_000
GUARD_LIMIT = 200_000


class ExplorationTest(unittest.TestCase):
    def explore(self, start: World, limit: int = LIMIT) -> Exploration:
        seen = explore(start, limit)
        print(f"{self.id()}: {seen}", file=sys.stderr)
        return seen

    def test_all_states_of_one_view_change_and_a_crash(self) -> None:
        seen = self.explore(first_world(Budget(1, 1, 1, 0)), COMPLETE_LIMIT)
        self.assertTrue(seen.complete)
        self.assertGreater(seen.states, 1000)

    def test_two_view_changes_up_to_the_limit(self) -> None:
        self.assertGreaterEqual(self.explore(first_world(Budget(2, 1, 0, 0))).states, LIMIT)

    def test_lost_disk_up_to_the_limit(self) -> None:
        self.assertGreaterEqual(self.explore(first_world(Budget(1, 1, 0, 1))).states, LIMIT)

    def test_lost_disk_after_a_failover(self) -> None:
        start = world_after_failover(Budget(1, 0, 0, 1))
        self.assertGreaterEqual(self.explore(start).states, LIMIT)


def _vote_immediately(state: WitnessState, others: Any) -> WitnessState:
    return attrs.evolve(state, voting=True)


def _anyone_leads(epoch: int, own: Promise, others: list[Promise]) -> View:
    disks = [own.voter, *(other.voter for other in others)]
    return View(epoch, own.voter.core_id, tuple(sorted(disks)))


def _admit_every_voter(epoch: int, own: Promise, others: list[Promise]) -> View | None:
    view = CHOOSE_VIEW(epoch, own, others)
    disks = [own.voter, *(other.voter for other in others)]
    return view and attrs.evolve(view, in_sync=tuple(sorted(disks)))


def _any_epoch(member: Member, epoch: int) -> bool:
    return True


def _truncate_at_any_time(member: Member, epoch: int) -> bool:
    return False


def _always(member: Member) -> bool:
    return True


class GuardTest(unittest.TestCase):
    """Without any one of the guards, some reachable state breaks an invariant."""

    def caught(self, owner: Any, name: str, replacement: Any, start: World) -> None:
        self.addCleanup(core_exploration._handle_message.cache_clear)
        with mock.patch.object(owner, name, replacement), self.assertRaises(BrokenInvariantError):
            explore(start, GUARD_LIMIT)

    def test_backup_refuses_lower_epochs(self) -> None:
        start = first_world(Budget(1, 1, 0, 0))
        self.caught(core_exploration, "may_append", _any_epoch, start)

    def test_late_start_view_truncates_nothing_of_its_own_epoch(self) -> None:
        start = first_world(Budget(1, 1, 0, 0))
        self.caught(core_exploration, "may_skip_comparison", _truncate_at_any_time, start)

    def test_core_with_a_lost_disk_reads_other_witnesses_before_it_votes(self) -> None:
        start = world_after_failover(Budget(1, 0, 0, 1))
        self.caught(witness_rules, "recover_vote", _vote_immediately, start)

    def test_only_a_core_with_an_in_sync_disk_leads(self) -> None:
        start = world_after_failover(Budget(1, 0, 0, 0))
        self.caught(witness_rules, "choose_view", _anyone_leads, start)

    def test_only_a_disk_with_an_equal_log_is_admitted(self) -> None:
        start = world_after_failover(Budget(2, 0, 0, 0))
        self.caught(witness_rules, "choose_view", _admit_every_voter, start)

    def test_primary_neither_appends_nor_commits_after_a_partial_view_change(self) -> None:
        start = world_after_partial_view_change(Budget(1, 1, 0, 0))
        self.assertTrue(explore(start, GUARD_LIMIT).complete)
        with mock.patch.object(core_exploration, "may_commit", _always):
            self.caught(core_exploration, "may_lead_append", _always, start)
