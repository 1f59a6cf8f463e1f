"""The first view: founders that are killed, lost or replaced while they form it."""

import tempfile
import unittest
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from unittest import mock

import attrs

from rooklug.core import group_reports, quorum, witness_rules
from rooklug.core.constants import GROUP_REPORT_WINDOW_S, LEASE_GUARD_S
from rooklug.core.formation import ALL_DISKS_LOST, NO_FIRST_START
from rooklug.core.group_reports import GroupPast
from rooklug.engine.component import InternalEvent
from rooklug.model.internal_events import EarlierPrimaryReported, GroupStartReported
from rooklug.storage.first_start import MARK_FILE, record_first_start, recorded_founders
from tests import core_formation_steps as model
from tests.core_cluster import Cluster
from tests.core_formation_exploration import BrokenInvariantError, explore, walk
from tests.core_formation_world import Budget, World, chosen_roots, first_world, founders_of
from tests.core_machine import CORE_IDS
from tests.core_oracle import OperatorChange, Oracle

STATES = 20_000
WALKS, WALK_SEED = 10, 3267
SEEDS = 60
FORMED_WITHIN_S = 2.0
EARLIER_EPOCH = 900
"""Epoch of a primary that a node has heard of."""


def late_accept() -> World:
    """Return the end of a history in which an accept rests on the promise of a lost disk.

    ``c`` proposes with the promises of all three and crashes; only ``b`` accepts, and loses its
    disk. Its new disk votes after it has read the others, which know no view; then the request
    reaches ``a`` late. Finally ``c`` proposes again, with the promise of the new disk.
    """
    world = first_world(3, Budget(proposals=2, lost_disks=1))
    a, b, c = range(3)
    first = [(model._start, a), (model._start, b), (model._start, c), (model._propose, c)]
    promises = [(model._promise, a), (model._promise, b), (model._promise, c)]
    lost = [(model._send_accept, c), (model._accept, b), (model._lose_disk, b)]
    reads = [(model._answer_read, a), (model._answer_read, c), (model._obtain_vote, b)]
    again = [(model._accept, a), (model._propose, c), (model._promise, b), (model._promise, c)]
    end = [(model._send_accept, c), (model._accept, b)]
    for step, index in [*first, *promises, *lost, *reads, *again, *end]:
        following = [found for found in step(world, index) if found != world]
        if following:
            # The last way to send an accept is to all who have promised, before a crash; the last
            # promise is the one for the highest epoch.
            is_first_accept = step is model._send_accept and world.budget.lost_disks
            takes_last = is_first_accept or step is model._promise
            world = following[-1 if takes_last else 0]
    return world


def vote_after_loss(lose_disk: Callable[[World, int], Iterator[World]]) -> World:
    """Return the end of a history in which ``b`` votes with ``c``, and after a loss with ``a``."""
    world = first_world(3, Budget(proposals=2, lost_disks=1))
    a, b, c = range(3)
    first = [(model._start, a), (model._start, b), (model._start, c), (model._propose, c)]
    chosen = [(model._promise, b), (model._promise, c), (model._send_accept, c), (model._accept, b)]
    again = [(lose_disk, b), (model._propose, a), (model._promise, b), (model._promise, a)]
    for step, index in [*first, *chosen, *again, (model._send_accept, a), (model._accept, b)]:
        following = [found for found in step(world, index) if found != world]
        if following:
            world = following[-1 if step in (model._promise, model._accept) else 0]
    return world


def total_loss(*, heard_late: bool = False) -> World:
    """Return the end of a history in which all disks are lost after a view was chosen.

    A node that was cut off reports the first start to ``a`` and ``b``; another one tells ``c`` of
    the primary, ``heard_late`` after ``c`` was read. Then ``a`` and ``b`` try to form a view.
    """
    world = first_world(3, Budget(proposals=2, lost_disks=3, start_reports=2))
    a, b, c = range(3)
    starts = [(model._start, core) for core in (a, b, c)]
    first = [(model._propose, a), (model._promise, a), (model._promise, b), (model._send_accept, a)]
    losses = [(model._accept, b), *((model._lose_disk, core) for core in (a, b, c))]
    heard = [(model._hear_of_primary, c)]
    reads = [(model._answer_read, core) for core in (a, b, c) for _ in range(2)]
    told = [(model._hear_of_start, a), (model._hear_of_start, b)]
    listened = [(model._stop_listening, a), (model._stop_listening, b)]
    before = reads if heard_late else [*heard, *told, *listened, *reads]
    after = [*heard, *told, *listened] if heard_late else []
    votes = [(model._obtain_vote, a), (model._obtain_vote, b)]
    again = [(model._propose, a), (model._promise, a), (model._promise, b)]
    end = [(model._send_accept, a), (model._accept, b)]
    for step, index in [*starts, *first, *losses, *before, *after, *votes, *again, *end]:
        following = [found for found in step(world, index) if found != world]
        if following:
            takes_last = step in (model._answer_read, model._promise, model._accept)
            world = following[-1 if takes_last else 0]
    return world


class Exploration(unittest.TestCase):
    """At most one first view is chosen, whatever is killed, delayed, repeated or lost."""

    def test_one_proposal_and_a_lost_disk_completely(self):
        found = explore(first_world(3, Budget(proposals=1, lost_disks=1)), STATES)
        self.assertTrue(found.complete and found.formed)

    def test_two_proposals_completely(self):
        found = explore(first_world(3, Budget(proposals=2)), STATES)
        self.assertTrue(found.complete and found.formed)

    def test_kills_before_the_first_write_up_to_the_limit(self):
        explore(first_world(3, Budget(proposals=2, early_kills=2, lost_disks=1)), STATES)

    def test_random_histories_of_three_to_seven_founders(self):
        for count, losses in ((3, 1), (5, 2), (7, 3)):
            budget = Budget(proposals=3, early_kills=1, lost_disks=losses)
            formed = walk(first_world(count, budget), walks=150, steps=160, seed=count)
            with self.subTest(count):
                self.assertGreater(formed, 0)

    def caught(self, owner: object, name: str, replacement: object, budget: Budget) -> None:
        start = first_world(3, budget)
        with (
            mock.patch.object(owner, name, replacement),
            self.assertRaises(BrokenInvariantError),
        ):
            explore(start, 15_000)
            walk(start, walks=WALKS, steps=100, seed=WALK_SEED)

    def test_an_accept_must_not_rest_on_a_disk_that_was_replaced(self):
        self.assertEqual(len(chosen_roots(late_accept())), 1)
        never = lambda state, promises: False  # noqa: E731
        with mock.patch.object(witness_rules, "_rests_on_another_disk", never):
            self.assertEqual(len(chosen_roots(late_accept())), 2)

    def test_a_read_must_register_the_new_disk(self):
        unchanged = lambda state, reader: state  # noqa: E731
        with mock.patch.object(witness_rules, "register_disk", unchanged):
            self.assertEqual(len(chosen_roots(late_accept())), 2)

    def test_a_blank_disk_must_read_all_other_founders(self):
        def vote_from_any(core, answers, founders):
            states = [answer.state for answer in answers]
            recovered = witness_rules.recover_vote(core.state, states, len(founders))
            return recovered or witness_rules.become_founder(core.state, founders, states)

        budget = Budget(proposals=2, early_kills=1, lost_disks=1)
        self.caught(model, "vote_from", vote_from_any, budget)

    def test_a_report_of_a_first_start_after_a_view(self):
        budget = Budget(proposals=2, lost_disks=2, start_reports=1)
        explore(first_world(3, budget), STATES)
        formed = walk(first_world(3, budget), walks=150, steps=160, seed=WALK_SEED)
        self.assertGreater(formed, 0)
        self.assertEqual(len(chosen_roots(total_loss())), 1)
        self.assertEqual(len(chosen_roots(total_loss(heard_late=True))), 1)

    def test_a_report_of_a_primary_must_outweigh_one_of_a_first_start(self):
        nothing_reported = lambda pasts: GroupPast.NO_PRIMARY_REPORTED  # noqa: E731
        with mock.patch.object(group_reports, "combined", nothing_reported):
            self.assertEqual(len(chosen_roots(total_loss())), 2)

    def test_what_other_cores_have_heard_of_a_primary_must_count(self):
        own_only = lambda pasts: pasts[0]  # noqa: E731
        with mock.patch.object(group_reports, "combined", own_only):
            self.assertEqual(len(chosen_roots(total_loss())), 2)

    def test_a_core_that_still_listens_must_count_as_one_that_has_heard(self):
        heard_nothing = lambda pasts: (  # noqa: E731
            GroupPast.HAD_PRIMARY
            if GroupPast.HAD_PRIMARY in pasts
            else GroupPast.NO_PRIMARY_REPORTED
        )
        with mock.patch.object(group_reports, "combined", heard_nothing):
            self.assertEqual(len(chosen_roots(total_loss(heard_late=True))), 2)

    def test_a_lost_disk_must_read_enough_others(self):
        budget = Budget(proposals=2, lost_disks=1)
        self.caught(witness_rules, "readers_needed", lambda count: 1, budget)

    def test_a_majority_must_accept(self):
        self.caught(quorum, "majority", lambda count: 1, Budget(proposals=2))

    def test_a_lost_disk_must_not_count_as_a_first_one(self):
        def lose_and_count_as_first(world, index):
            for following in model._lose_disk(world, index):
                core = following.cores[index]
                state = witness_rules.become_founder(core.state, founders_of(world))
                yield model._with(following, index, attrs.evolve(core, state=state))

        self.assertEqual(len(chosen_roots(vote_after_loss(model._lose_disk))), 1)
        self.assertEqual(len(chosen_roots(vote_after_loss(lose_and_count_as_first))), 2)


class FormationCase(unittest.TestCase):
    def begin(self, seed: int = 1) -> None:
        self.cluster = Cluster(seed)
        self.cluster.knows_first_start = True
        self.oracle = Oracle(self.cluster)

    def has_primary(self) -> bool:
        return self.cluster.primary() is not None

    def assert_forms(self, within_s: float = FORMED_WITHIN_S) -> None:
        formed = self.cluster.run(self.cluster.now + within_s, self.has_primary)
        notes = {core_id: self.note(core_id) for core_id in self.cluster.cores}
        self.assertTrue(formed, notes)

    def assert_accepts_a_change(self) -> None:
        change = OperatorChange(1, b"{1}", None)
        for _ in range(20):
            if self.has_primary() and not change.accepted:
                self.oracle.send(change, self.cluster.primary().core_id)
            self.cluster.run(self.cluster.now + 0.3, lambda: change.accepted)
        self.assertTrue(change.accepted)

    def note(self, core_id: str) -> str:
        core = self.cluster.cores[core_id]
        return core.component._status(self.cluster.now).note if core.alive else "dead"


class Kills(FormationCase):
    def test_a_founder_killed_before_its_first_write_does_not_prevent_the_first_view(self):
        # Only the core with the lowest id could propose the first view, and only in its first
        # process, so that the system never started (review/2).
        for core_id in CORE_IDS:
            with self.subTest(core_id):
                self.begin()
                self.cluster.kill_before_record(core_id)
                self.cluster.start_all()
                self.assert_forms()
                self.assert_accepts_a_change()

    def test_all_founders_killed_at_any_moment_of_the_formation_form_it_again(self):
        for step in range(40):
            with self.subTest(step=step):
                self.begin(seed=step)
                self.cluster.start_all()
                self.cluster.run(0.01 * step)
                for core_id in CORE_IDS:
                    self.cluster.crash(core_id)
                self.cluster.run(self.cluster.now + 0.4)
                self.cluster.start_all()
                self.assert_forms(FORMED_WITHIN_S + LEASE_GUARD_S)
                self.assert_accepts_a_change()

    def test_one_founder_that_recorded_the_first_start_is_enough_if_all_answer(self):
        self.begin()
        for core_id in CORE_IDS[1:]:
            self.cluster.kill_before_record(core_id)
        self.cluster.start_all()
        self.assert_forms()

    def test_random_kills_and_one_lost_machine(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.random_formation(seed)

    def random_formation(self, seed: int) -> None:
        """Kill founders at random in the first second; perhaps replace one for good."""
        self.begin(seed)
        random = Random(seed)
        self.cluster.delayed_share = 0.02
        if random.random() < 0.5:
            self.cluster.kill_before_record(random.choice(CORE_IDS))
        for core_id in CORE_IDS:
            self.cluster.schedule(random.uniform(0.0, 0.3), lambda i=core_id: self.start(i))
        for _ in range(random.randint(1, 5)):
            core_id = random.choice(CORE_IDS)
            self.cluster.schedule(random.uniform(0.05, 1.0), lambda i=core_id: self.restart(i))
        self.cluster.run(1.6)
        if random.random() < 0.4:
            lost = random.choice(CORE_IDS)
            others = [core_id for core_id in CORE_IDS if core_id != lost]
            disks = [self.cluster.cores[core_id].disk for core_id in others]
            if all(disk.recorded_seeds for disk in disks):
                self.cluster.replace(lost, "core-d")
        self.assert_forms(FORMED_WITHIN_S + LEASE_GUARD_S)
        self.assert_accepts_a_change()

    def start(self, core_id: str) -> None:
        if not self.cluster.cores[core_id].alive:
            self.cluster.start(core_id)

    def restart(self, core_id: str) -> None:
        if self.cluster.cores[core_id].alive:
            self.cluster.crash(core_id)
            self.cluster.schedule(0.3, lambda: self.start(core_id))


class LossesForGood(FormationCase):
    def test_a_machine_lost_before_the_first_view_is_replaced(self):
        for lost in CORE_IDS:
            with self.subTest(lost):
                self.begin()
                others = [core_id for core_id in CORE_IDS if core_id != lost]
                for core_id in others:
                    self.cluster.start(core_id)
                self.cluster.replace(lost, "core-d")
                self.assert_forms()
                self.assert_accepts_a_change()
                joined = self.cluster.run(self.cluster.now + 8.0, self.is_replaced)
                self.assertTrue(joined)

    def is_replaced(self) -> bool:
        primary = self.cluster.primary()
        return primary is not None and "core-d" in primary.component.primary.view.member_ids

    def test_the_founders_are_those_of_the_first_start(self):
        # Later settings may name other seeds; two majorities of different founders could each
        # choose a first view.
        self.begin()
        self.cluster.start("core-a")
        self.cluster.crash("core-a")
        self.cluster.seeds = ("core-a", "core-d", "core-e")
        self.cluster.start("core-a")
        founders = self.cluster.cores["core-a"].component.peers.founders
        self.assertEqual(founders, frozenset(CORE_IDS))


class Refusal(FormationCase):
    def test_blank_disks_without_an_interrupted_first_start_form_nothing_and_say_why(self):
        self.begin()
        for core_id in CORE_IDS:
            self.cluster.kill_before_record(core_id)
        self.cluster.start_all()
        self.assertFalse(self.cluster.run(20.0, self.has_primary))
        for core_id in CORE_IDS:
            self.assertEqual(self.note(core_id), NO_FIRST_START)
        self.assertIn("recover-cores", NO_FIRST_START)

    def report_group_start(self, core_id: str) -> None:
        self.deliver(core_id, GroupStartReported("front-1"))

    def report_earlier_primary(self, core_id: str) -> None:
        self.deliver(core_id, EarlierPrimaryReported("front-2", EARLIER_EPOCH))

    def deliver(self, core_id: str, event: InternalEvent) -> None:
        core = self.cluster.cores[core_id]
        for effect in core.component.handle(event, self.cluster.now):
            self.cluster._execute(core, effect)

    def test_a_node_that_has_seen_no_primary_since_the_first_start_lets_blank_disks_form(self):
        # All cores were killed before they had run their first line: no disk tells of the start.
        self.begin()
        for core_id in CORE_IDS:
            self.cluster.kill_before_record(core_id)
        self.cluster.start_all()
        self.assertFalse(self.cluster.run(1.0, self.has_primary))
        self.report_group_start("core-b")
        self.assert_forms()

    def test_such_a_report_does_not_replace_the_answer_of_a_founder(self):
        self.begin()
        for core_id in CORE_IDS:
            self.cluster.kill_before_record(core_id)
        self.cluster.start("core-a")
        self.cluster.start("core-b")
        for _ in range(20):
            self.cluster.run(self.cluster.now + 0.5)
            self.report_group_start("core-a")
            self.report_group_start("core-b")
        self.assertFalse(self.has_primary())
        self.assertIn("no answer from core-c", self.note("core-a"))

    def test_such_a_report_does_not_outweigh_a_view(self):
        self.begin()
        self.cluster.start_all()
        self.assert_forms()
        for core_id in CORE_IDS:
            self.cluster.crash(core_id)
        for core_id in CORE_IDS[1:]:
            self.cluster.lose_disk(core_id)
        self.cluster.start_all()
        for _ in range(20):
            self.cluster.run(self.cluster.now + 0.5)
            for core_id in CORE_IDS:
                self.report_group_start(core_id)
        self.assertFalse(self.has_primary())

    def test_all_disks_lost_after_service_form_nothing(self):
        self.begin()
        self.cluster.start_all()
        self.assert_forms()
        for core_id in CORE_IDS:
            self.cluster.crash(core_id)
            self.cluster.lose_disk(core_id)
        self.cluster.start_all()
        self.assertFalse(self.cluster.run(30.0, self.has_primary))

    def lose_all_disks(self) -> None:
        """Form a view, then start all cores on blank disks."""
        self.begin()
        self.cluster.start_all()
        self.assert_forms()
        for core_id in CORE_IDS:
            self.cluster.crash(core_id)
            self.cluster.lose_disk(core_id)
        self.cluster.start_all()

    def report_often(self, *reports: Callable[[], None]) -> None:
        """Let nodes report as often as they look for a primary, for ten seconds."""
        for _ in range(25):
            self.cluster.run(self.cluster.now + 0.4)
            for report in reports:
                report()

    def test_a_node_that_was_cut_off_since_the_first_start_does_not_replace_lost_data(self):
        # One such node's word formed an empty group, though others knew of a primary.
        for known_to in CORE_IDS:
            with self.subTest(known_to):
                self.lose_all_disks()
                self.report_often(
                    lambda: self.report_group_start("core-a"),
                    lambda core_id=known_to: self.report_earlier_primary(core_id),
                )
                self.assertFalse(self.has_primary())
                for core_id in CORE_IDS:
                    self.assertEqual(self.note(core_id), ALL_DISKS_LOST)
        self.assertIn("recover-cores", ALL_DISKS_LOST)

    def test_settings_that_allow_a_first_view_do_not_replace_lost_data_either(self):
        self.lose_all_disks()
        for core_id in CORE_IDS:
            self.cluster.cores[core_id].component.formation._first_start = True
        self.report_earlier_primary("core-c")
        self.assertFalse(self.cluster.run(self.cluster.now + 10.0, self.has_primary))

    def test_a_founder_that_was_cut_off_since_the_first_start_does_not_replace_lost_data(self):
        # Its disk records the first start and no view; the other two, which had one, are lost.
        self.begin()
        for core_id in CORE_IDS[:2]:
            self.cluster.start(core_id)
        self.assert_forms()
        for core_id in CORE_IDS[:2]:
            self.cluster.crash(core_id)
            self.cluster.lose_disk(core_id)
        self.cluster.start_all()
        self.report_often(lambda: self.report_earlier_primary("core-b"))
        self.assertFalse(self.has_primary())

    def test_blank_disks_listen_before_they_take_a_start_for_the_first(self):
        self.lose_all_disks()
        begun = self.cluster.now
        while self.cluster.now < begun + 0.9 * GROUP_REPORT_WINDOW_S:
            self.report_group_start("core-a")
            self.cluster.run(self.cluster.now + 0.1)
        self.assertFalse(self.has_primary())
        self.report_earlier_primary("core-c")
        self.report_often(lambda: self.report_group_start("core-a"))
        self.assertFalse(self.has_primary())

    def test_a_damaged_disk_is_not_taken_for_one_that_never_voted(self):
        self.begin()
        self.cluster.start("core-a")
        self.cluster.run(0.1)
        self.cluster.crash("core-a")
        disk = self.cluster.cores["core-a"].disk
        disk.files.clear()
        disk.problem = "damaged: witness.records"
        self.cluster.start("core-a")
        self.assertFalse(self.cluster.cores["core-a"].component.witness.state.voting)


class Mark(unittest.TestCase):
    def setUp(self):
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(self.folder) / MARK_FILE

    def test_the_founders_are_read_back(self):
        self.assertEqual(recorded_founders(self.folder), ())
        record_first_start(self.folder, ["10.1.0.1:7", "10.2.0.1:7"])
        self.assertEqual(recorded_founders(self.folder), ("10.1.0.1:7", "10.2.0.1:7"))

    def test_a_folder_in_use_gets_no_mark(self):
        (Path(self.folder) / "identity.json").write_text("{}")
        record_first_start(self.folder, ["10.1.0.1:7"])
        self.assertFalse(self.path.exists())

    def test_an_incomplete_mark_counts_as_missing(self):
        record_first_start(self.folder, ["10.1.0.1:7", "10.2.0.1:7"])
        whole = self.path.read_bytes()
        for length in range(len(whole) - len(b"end\n") + 2):
            self.path.write_bytes(whole[:length])
            self.assertEqual(recorded_founders(self.folder), ())
        self.path.write_bytes(b"\xff\xfe")
        self.assertEqual(recorded_founders(self.folder), ())
