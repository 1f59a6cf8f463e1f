"""Single faults and special orders of events: their effect on three cores, and the recovery."""

import unittest
from typing import Any
from unittest import mock

from rooklug.core.constants import LEASE_GUARD_S
from rooklug.core.records import disk_to_wire
from rooklug.core.types import MemberDisk
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.model import internal_events as internal
from rooklug.wire.generated.control import ttypes as control
from rooklug.wire.generated.core import ttypes as wire
from tests.core_cluster import Cluster
from tests.core_cluster_waits import READ, wait_in_sync
from tests.core_machine import CLIENT, CORE_IDS, Core
from tests.core_oracle import OperatorChange, Oracle
from tests.test_core_replication import call_core, change_request, recorded_events, started_cluster


class FrozenPrimaryTest(unittest.TestCase):
    def test_resumed_primary_does_not_execute_queued_requests(self) -> None:
        cluster = started_cluster()
        answers: list[Any] = []
        cluster.freeze("core-a")
        cluster.request("core-a", change_request(1, b"{old}"), answers.append)
        cluster.run(cluster.now + 20.0)
        new_primary = cluster.primary().core_id
        self.assertNotEqual(new_primary, "core-a")
        self.assertEqual(
            call_core(cluster, new_primary, change_request(1, b"{new}")).outcome, "accepted"
        )
        cluster.unfreeze("core-a")
        self.assertTrue(cluster.run(cluster.now + 1.0, lambda: bool(answers)))
        self.assertIn(answers[0].outcome, ("unavailable", "not_primary"))
        stopped = recorded_events(cluster.cores["core-a"], internal.PrimaryStopped)
        self.assertEqual(len(stopped), 1)
        self.assertEqual(call_core(cluster, new_primary, READ).configuration.document, b"{new}")
        self.assertTrue(wait_in_sync(cluster, list(CORE_IDS)))

    def test_isolated_primary_steps_down_before_another_starts(self) -> None:
        cluster = started_cluster()
        cluster.isolate("core-a")
        other = ("core-b", "core-c")
        self.assertTrue(
            cluster.run(
                cluster.now + 10.0,
                lambda: cluster.primary() is not None and cluster.primary().core_id in other,
            )
        )
        stopped_at = [
            when
            for when, event in cluster.cores["core-a"].recorder.seen
            if isinstance(event, internal.PrimaryStopped)
        ]
        started_at = [
            when
            for when, event in cluster.primary().recorder.seen
            if isinstance(event, internal.PrimaryStarted)
        ]
        self.assertLess(stopped_at[0], started_at[0])


class OperatorTest(unittest.TestCase):
    def test_one_of_two_changes_with_the_same_version_is_accepted(self) -> None:
        cluster = started_cluster()
        answers: list[Any] = []
        cluster.request("core-a", change_request(1, b"{1}"), answers.append)
        cluster.request("core-a", change_request(1, b"{2}"), answers.append)
        cluster.run(cluster.now + 2.0)
        self.assertEqual(sorted(a.outcome for a in answers), ["accepted", "conflict"])
        accepted, conflict = sorted(answers, key=lambda answer: answer.outcome)
        self.assertEqual(conflict.digest, accepted.digest)
        self.assertEqual(conflict.version, 1)

    def test_patch_requires_the_newest_base_and_a_conflict_names_it(self) -> None:
        cluster = started_cluster()
        call_core(cluster, "core-a", change_request(1, b"{1}"))
        self.assertEqual(
            call_core(cluster, "core-a", change_request(2, b"p", base=1)).outcome, "accepted"
        )
        late = call_core(cluster, "core-a", change_request(3, b"q", base=1))
        self.assertEqual((late.outcome, late.version, late.digest), ("conflict", 2, ""))
        again = call_core(cluster, "core-a", change_request(2, b"p", base=1))
        self.assertEqual((again.outcome, again.repeated), ("accepted", True))
        self.assertEqual(call_core(cluster, "core-a", READ).configuration.document, b"{1}+p")

    def test_invalid_document_is_rejected_with_all_problems(self) -> None:
        cluster = started_cluster()
        answer = call_core(cluster, "core-a", change_request(1, b"invalid"))
        self.assertEqual(answer.outcome, "invalid")
        self.assertEqual(len(answer.problems), 2)
        self.assertEqual(call_core(cluster, "core-a", READ).configuration.version, 0)

    def test_wrong_digest_and_version_out_of_bounds_are_rejected(self) -> None:
        cluster = started_cluster()
        wrong = change_request(0, b"{}")
        wrong.digest = "00"
        answer = call_core(cluster, "core-a", wrong)
        self.assertEqual((answer.outcome, len(answer.problems)), ("invalid", 2))

    def test_repeated_zone_order_has_no_effect(self) -> None:
        cluster = started_cluster()
        empty = control.SetZoneRequest(zone="north", emptied=True, operation_id="op-1")
        restore = control.SetZoneRequest(zone="north", emptied=False, operation_id="op-2")
        other = control.SetZoneRequest(zone="south", emptied=True, operation_id="op-1")
        for request in (empty, empty, restore, empty):
            self.assertEqual(call_core(cluster, "core-a", request).outcome, "accepted")
        self.assertEqual(call_core(cluster, "core-a", other).outcome, "invalid")
        cluster.run(cluster.now + 1.0)
        for core in cluster.cores.values():
            zones = recorded_events(core, internal.ZonesCommitted)
            self.assertEqual([z.body.emptied_zones for z in zones], [["north"], []])

    def test_no_change_is_accepted_with_one_of_three_cores(self) -> None:
        cluster = started_cluster()
        cluster.crash("core-b")
        cluster.crash("core-c")
        self.assertEqual(call_core(cluster, "core-a", change_request(1, b"{}")).outcome, "unknown")
        self.assertEqual(
            call_core(cluster, "core-a", change_request(2, b"{}")).outcome, "not_primary"
        )
        self.assertFalse(call_core(cluster, "core-a", READ).ok)
        unsure = control.ReadConfigurationRequest(linearizable=False)
        self.assertTrue(call_core(cluster, "core-a", unsure).ok)

    def test_graceful_stop_hands_over_before_the_lease_expires(self) -> None:
        cluster = started_cluster()
        cluster.run(cluster.now + 1.0)
        began = cluster.now
        cluster.deliver("core-a", ev.StopRequested())
        self.assertTrue(cluster.run(began + 5.0, lambda: cluster.primary() is not None))
        self.assertLess(cluster.now - began, LEASE_GUARD_S)
        cluster.run(began + 5.0)
        self.assertFalse(cluster.cores["core-a"].alive)


class UnwrittenEntriesTest(unittest.TestCase):
    def test_deposed_primary_discards_entries_never_written_to_disk(self) -> None:
        cluster = started_cluster()
        core = cluster.cores["core-a"]
        core.disk.stalled_until = cluster.now + 5.0
        for version in (1, 2):
            cluster.request(
                "core-a", change_request(version, b"{%d}" % version), lambda answer: None
            )
            cluster.run(cluster.now + 0.1)
        store = core.component.store
        self.assertEqual((store.written, store.last.sequence), (1, 2))
        cluster.run(cluster.now + 2.0)
        self.assertNotEqual(cluster.primary(), core)
        self.assertLessEqual(store.last.sequence, store.written)


class AppendOrderTest(unittest.TestCase):
    def test_changes_are_appended_in_order_of_arrival_not_of_their_checks(self) -> None:
        cluster = started_cluster()
        held: list[Any] = []
        execute = cluster._execute

        def hold_checks(core: Any, effect: fx.Effect) -> None:
            if isinstance(effect, fx.Compute):
                held.append(ev.Computed(effect.ticket, effect.function(effect.argument)))
            else:
                execute(core, effect)

        answers: list[Any] = []
        with mock.patch.object(cluster, "_execute", hold_checks):
            for version in (1, 2):
                cluster.request(
                    "core-a", change_request(version, b"{%d}" % version), answers.append
                )
                cluster.run(cluster.now + 0.05)
            for event in reversed(held):
                cluster.deliver("core-a", event)
        cluster.run(cluster.now + 1.0)
        self.assertEqual([answer.outcome for answer in answers], ["accepted", "accepted"])


class PartialViewChangeTest(unittest.TestCase):
    """A view that admits core-c is accepted by it, but the primary doesn't learn of that.

    Core-b's prepare request and core-c's answer to the accept request are lost.
    """

    def partially_accepted(self) -> Cluster:
        cluster = started_cluster()
        cluster.isolate("core-c")
        self.assertTrue(wait_in_sync(cluster, ["core-a", "core-b"]))
        arrive, answer = cluster._arrive, cluster._answer

        def lose_prepare(core_id: str, open_id: int, request: Any) -> None:
            if not (core_id == "core-b" and isinstance(request, wire.PrepareRequest)):
                arrive(core_id, open_id, request)

        def lose_accept(core: Any, effect: fx.Answer) -> None:
            if not (core.core_id == "core-c" and isinstance(effect.answer, wire.AcceptAnswer)):
                answer(core, effect)

        cluster._arrive, cluster._answer = lose_prepare, lose_accept
        cluster.heal()

        def accepted_at_c() -> bool:
            view = cluster.cores["core-c"].component.witness.state.view
            return view is not None and [d.core_id for d in view.in_sync] == ["core-a", "core-c"]

        self.assertTrue(cluster.run(cluster.now + 10.0, accepted_at_c))
        return cluster

    def test_changes_acknowledged_afterwards_are_not_lost(self) -> None:
        cluster = self.partially_accepted()
        oracle = Oracle(cluster)
        cluster.isolate("core-c")
        cluster.blocked_links = {pair for pair in cluster.blocked_links if CLIENT not in pair}
        for version in range(1, 200):
            operator_change = OperatorChange(version, b"{%d}" % version, None)
            cluster.run(cluster.now + 0.02)
            oracle.send(operator_change, "core-a")
        cluster.run(cluster.now + 0.5)
        del cluster._arrive, cluster._answer
        cluster.crash("core-a")
        cluster.heal()
        cluster.run(cluster.now + 10.0, lambda: cluster.primary() is not None)
        oracle.finish()


class LateAnswerTest(unittest.TestCase):
    def test_candidate_frozen_before_its_proposal_is_accepted_never_leads(self) -> None:
        cluster = started_cluster()
        cluster.crash("core-a")

        def proposing() -> list[Core]:
            rounds = [
                (c, c.component.view_changer.proposal) for c in cluster.cores.values() if c.alive
            ]
            return [core for core, current in rounds if current and current.view]

        self.assertTrue(cluster.run(cluster.now + 10.0, lambda: bool(proposing())))
        candidate = proposing()[0]
        cluster.freeze(candidate.core_id)
        cluster.run(cluster.now + 0.1)
        cluster.isolate(candidate.core_id)
        cluster.run(cluster.now + 20.0)
        cluster.unfreeze(candidate.core_id)
        self.assertEqual(recorded_events(candidate, internal.PrimaryStarted), [])
        cluster.heal()
        self.assertTrue(cluster.run(cluster.now + 10.0, lambda: cluster.primary() is not None))

    def test_late_hand_over_of_an_earlier_epoch_is_ignored(self) -> None:
        """A hand-over for epoch 3 arrives when core-c supports epoch 9 of the same primary."""
        cluster = started_cluster()
        cluster.run(cluster.now + 1.0)
        primary = MemberDisk("core-a", "disk-core-a:core-a-1")
        cluster.cores["core-c"].component.witness.record_heartbeat(primary, 9, cluster.now)
        call_core(cluster, "core-c", wire.HandOverRequest(epoch=3, primary=disk_to_wire(primary)))
        rival = wire.MemberDisk(core_id="core-b", disk_id="disk-core-b:core-b-1")
        answer = call_core(cluster, "core-c", wire.PrepareRequest(proposer=rival, epoch=10))
        self.assertFalse(answer.granted)


class DelayedZoneOrderTest(unittest.TestCase):
    def test_a_delayed_zone_order_does_not_revert_later_ones(self) -> None:
        cluster = started_cluster()
        primary = cluster.primary()
        known = primary.component.store.state.zones_version()
        empty = control.SetZoneRequest("zone-1", True, "first", known)
        self.assertEqual(call_core(cluster, primary.core_id, empty).outcome, "accepted")
        known = primary.component.store.state.zones_version()
        back = control.SetZoneRequest("zone-1", False, "second", known)
        self.assertEqual(call_core(cluster, primary.core_id, back).outcome, "accepted")
        delayed = control.SetZoneRequest("zone-1", True, "late", empty.known_zones)
        self.assertEqual(call_core(cluster, primary.core_id, delayed).outcome, "unavailable")
        self.assertEqual(primary.component.store.state.zones_body().emptied_zones, [])
