"""Bounded exploration of changes of the members, with and without each guard."""

import sys
import unittest
from typing import Any
from unittest import mock

import attrs

from rooklug.core import quorum, witness_rules
from tests import core_member_exploration as exploration

CHOOSE_VIEW = witness_rules.choose_view
PROMISE_TO_JOIN = witness_rules.promise_to_join
LIMIT = 15_000
WALKS = 1_000
GUARD_WALKS = 20_000
STEPS = 30
# The numbers of proposals that a, b, c and d may start.
CHANGE_AND_RIVAL = (1, 1, 0, 0)
CHANGE_COMPLETED_AND_RIVAL = (2, 1, 0, 0)
CHANGE_AND_LEAVER = (2, 0, 1, 0)


def _new_members_only(latest: Any, view: Any) -> tuple:
    return exploration.electorates(view)[:1]


def _change_in_one_view(*arguments: Any, **options: Any) -> Any:
    """Change the members in a single view, which only the new members choose."""
    view = CHOOSE_VIEW(*arguments, **options)
    return view and attrs.evolve(view, previous=())


def _treat_newest_as_chosen(
    epoch: int, own: Any, others: Any, excluded: Any, change: Any, _: Any
) -> Any:
    """Treat the newest known view as chosen, although it may not be."""
    newest = witness_rules.newest_view(own, others)
    return CHOOSE_VIEW(epoch, own, others, excluded, change, newest)


class Members(unittest.TestCase):
    def test_all_states_of_a_change_and_a_competing_proposal(self) -> None:
        start = exploration.first_world(CHANGE_AND_RIVAL)
        states, complete, chosen = exploration.explore(start, LIMIT)
        print(f"{self.id()}: {states} states, {chosen} views chosen", file=sys.stderr)
        self.assertTrue(complete)
        self.assertGreater(chosen, 1)

    def test_random_walks_from_a_partial_change(self) -> None:
        for rounds in (CHANGE_AND_RIVAL, CHANGE_COMPLETED_AND_RIVAL, CHANGE_AND_LEAVER):
            start = exploration.world_after_partial_change(rounds)
            self.assertGreater(exploration.walk(start, WALKS, STEPS, seed=1), WALKS)


class Guards(unittest.TestCase):
    def caught(self, owner: Any, name: str, replacement: Any, rounds: tuple[int, ...]) -> None:
        patched = mock.patch.object(owner, name, replacement)
        with patched, self.assertRaises(exploration.BrokenInvariantError):
            start = exploration.world_after_partial_change(rounds)
            exploration.walk(start, GUARD_WALKS, STEPS, seed=1)

    def test_the_old_members_must_accept_too(self) -> None:
        self.caught(exploration, "must_agree", _new_members_only, CHANGE_AND_RIVAL)

    def test_a_majority_is_more_than_half(self) -> None:
        half = mock.Mock(side_effect=lambda count: max(count // 2, 1))
        self.caught(quorum, "majority", half, CHANGE_AND_RIVAL)

    def test_members_change_through_a_joint_view(self) -> None:
        self.caught(witness_rules, "choose_view", _change_in_one_view, CHANGE_AND_RIVAL)

    def test_old_members_are_dropped_only_after_the_joint_view_is_chosen(self) -> None:
        self.caught(
            witness_rules, "choose_view", _treat_newest_as_chosen, CHANGE_COMPLETED_AND_RIVAL
        )
