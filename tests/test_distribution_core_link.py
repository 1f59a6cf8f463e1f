"""The core link on its own: the calls that it sends, and how it handles the answers."""

import unittest
from random import Random
from typing import Any

import attrs

from rooklug.config.json_text import canonical_bytes
from rooklug.config.patching import digest
from rooklug.distribution.core_finder import CoreFinder
from rooklug.distribution.core_link import CoreLink
from rooklug.distribution.document_delta import apply_delta
from rooklug.distribution.link_events import LeaseReleased, RenewalRequested
from rooklug.distribution.timing import MAX_BACKOFF_S, MAX_STARTING_BACKOFF_S
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.model.internal_events import GrantsChanged, TopicChanged
from rooklug.model.topics import CONFIGURATION, MEMBERS, PLAN, ROLE_PLACER, ZONES
from rooklug.wire.codec import encode
from rooklug.wire.generated.control import ttypes
from rooklug.wire.generated.control.ttypes import RoleGrant, TopicUpdate, VersionMark
from tests.membership_processes import node_settings

SEEDS = ("core-a:1", "core-b:1", "core-c:1")
GRANT = RoleGrant(ROLE_PLACER, VersionMark(3, 1), 3000)


def calls(effects: list[fx.Effect], request_type: type) -> list[fx.Call]:
    found = [effect for effect in effects if isinstance(effect, fx.Call)]
    return [call for call in found if isinstance(call.request, request_type)]


def emitted_events(effects: list[fx.Effect], event_type: type) -> list[Any]:
    events = [effect.event for effect in effects if isinstance(effect, EmitEvent)]
    return [event for event in events if isinstance(event, event_type)]


def configuration(counter: int, document: bytes, base: int | None = None) -> TopicUpdate:
    body = ttypes.ConfigurationBody(counter, digest(document), document)
    patch_base = None if base is None else VersionMark(3, base)
    return TopicUpdate(CONFIGURATION, VersionMark(3, counter), patch_base, encode(body))


class CoreLinkTestCase(unittest.TestCase):
    def setUp(self) -> None:
        settings = node_settings("controller-1", "controller", "z1", SEEDS)
        context = ProcessContext("controller-1", "i1", Random(1), Identifiers())
        self.link = CoreLink(settings, context)
        self.link.handle(ev.Started(), 0.0)

    def renew(self, now: float) -> fx.Call:
        effects = self.link.handle(ev.TimerFired("renew"), now)
        return calls(effects, ttypes.RenewLeaseRequest)[0]

    def poll(self, now: float) -> fx.Call:
        return calls(self.link.handle(ev.TimerFired("poll"), now), ttypes.PollRequest)[0]

    def answer(self, call: fx.Call, answer: Any, now: float) -> list[fx.Effect]:
        return self.link.handle(ev.CallAnswered(call.call_id, answer), now)

    def grant(self, call: fx.Call, now: float, *grants: RoleGrant, epoch: int = 3) -> list:
        answer = ttypes.RenewLeaseAnswer(True, 3000, list(grants), epoch, call.address, [])
        return self.answer(call, answer, now)

    def updates(self, call: fx.Call, now: float, *updates: TopicUpdate) -> list[fx.Effect]:
        answer = ttypes.PollAnswer(list(updates), True, 3, call.address)
        return self.answer(call, answer, now)


class LeaseTest(CoreLinkTestCase):
    def test_validity_counts_from_the_send_time(self) -> None:
        self.grant(self.renew(10.0), 10.7, GRANT)
        self.assertTrue(self.link.has_valid_lease(12.99))
        self.assertFalse(self.link.has_valid_lease(13.0))
        self.assertEqual(self.link.grant_until(ROLE_PLACER, 11.0), 13.0)
        self.assertIsNone(self.link.grant(ROLE_PLACER, 13.0))

    def test_suspended_process_drops_expired_grants_before_it_acts(self) -> None:
        self.grant(self.renew(10.0), 10.1, GRANT)
        late = self.renew(11.0)
        effects = self.grant(late, 31.0, GRANT)
        self.assertEqual(emitted_events(effects, GrantsChanged)[0].grants, ())
        self.assertIsNone(self.link.grant(ROLE_PLACER, 31.0))
        self.assertFalse(self.link.connected)

    def test_grant_left_out_of_an_answer_ends_and_is_reported_soon(self) -> None:
        self.grant(self.renew(10.0), 10.1, GRANT)
        effects = self.grant(self.renew(11.0), 11.1)
        self.assertEqual(emitted_events(effects, GrantsChanged), [GrantsChanged(())])
        delays = [e.delay_s for e in effects if isinstance(e, fx.StartTimer) and e.name == "renew"]
        self.assertLess(delays[0], 0.1)

    def test_answer_of_an_older_epoch_is_ignored(self) -> None:
        self.grant(self.renew(10.0), 10.1, GRANT)
        self.grant(self.renew(11.0), 11.1, epoch=2)
        self.assertEqual(self.link.grant_until(ROLE_PLACER, 11.2), 13.0)

    def test_stopping_node_releases_lease_and_grants(self) -> None:
        self.grant(self.renew(10.0), 10.1, GRANT)
        effects = self.link.handle(ev.StopRequested(), 10.5)
        self.assertIsNone(self.link.grant(ROLE_PLACER, 10.5))
        self.assertEqual(emitted_events(effects, GrantsChanged), [GrantsChanged(())])
        call = calls(effects, ttypes.RenewLeaseRequest)[0]
        self.assertTrue(call.request.leaving)
        self.assertEqual(
            emitted_events(self.grant(call, 10.6), LeaseReleased), [LeaseReleased(True)]
        )

    def test_stopping_node_keeps_polling(self) -> None:
        poll = self.poll(9.0)
        self.link.handle(ev.StopRequested(), 10.0)
        self.assertEqual(self.link.handle(RenewalRequested(), 10.1), [])
        zones = TopicUpdate(ZONES, VersionMark(3, 1), None, encode(ttypes.ZonesBody(["z"])))
        effects = self.updates(poll, 10.2, zones)
        self.assertEqual(len(emitted_events(effects, TopicChanged)), 1)
        self.assertEqual(len(calls(effects, ttypes.PollRequest)), 1)

    def test_release_gives_up_without_an_answer(self) -> None:
        call = calls(self.link.handle(ev.StopRequested(), 1.0), ttypes.RenewLeaseRequest)[0]
        events: list[LeaseReleased] = []
        for attempt in range(3):
            failed = ev.CallFailed(call.call_id, "deadline", True)
            events += emitted_events(self.link.handle(failed, 2.0 + attempt), LeaseReleased)
            if not events:
                call = self.renew(2.5 + attempt)
        self.assertEqual(events, [LeaseReleased(False)])

    def test_changed_flag_is_reported_immediately(self) -> None:
        self.grant(self.renew(10.0), 10.1)
        (effect,) = self.link.set_draining(True)
        call = calls(self.link.handle(effect.event, 10.2), ttypes.RenewLeaseRequest)[0]
        self.assertTrue(call.request.node.draining)
        self.assertEqual(self.link.set_draining(True), [])


class TopicTest(CoreLinkTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.old = canonical_bytes({"a": 1, "filling": "x" * 50})
        self.new = canonical_bytes({"a": 2, "filling": "x" * 50})

    def test_older_body_is_never_applied(self) -> None:
        self.updates(self.poll(1.0), 1.1, configuration(2, self.new))
        effects = self.updates(self.poll(2.0), 2.1, configuration(1, self.old))
        self.assertEqual(emitted_events(effects, TopicChanged), [])
        self.assertEqual(self.link.body(CONFIGURATION).document, self.new)

    def delta(self, patch: bytes) -> TopicUpdate:
        body = ttypes.ConfigurationBody(2, digest(self.new), patch)
        return TopicUpdate(CONFIGURATION, VersionMark(3, 2), VersionMark(3, 1), encode(body))

    def apply_delta_update(self, patch: bytes) -> list[fx.Effect]:
        self.updates(self.poll(1.0), 1.1, configuration(1, self.old))
        effects = self.updates(self.poll(2.0), 2.1, self.delta(patch))
        (compute,) = [e for e in effects if isinstance(e, fx.Compute)]
        self.assertIs(compute.function, apply_delta)
        result = compute.function(compute.argument)
        return self.link.handle(ev.Computed(compute.ticket, result), 2.2)

    def test_delta_reproduces_the_document_exactly(self) -> None:
        effects = self.apply_delta_update(b'{"a":2}')
        self.assertEqual(emitted_events(effects, TopicChanged)[0].body.document, self.new)
        held = calls(effects, ttypes.PollRequest)[0].request.held[0].version
        self.assertEqual(held, VersionMark(3, 2))

    def test_wrong_delta_requests_the_full_body(self) -> None:
        effects = self.apply_delta_update(b'{"a":3}')
        self.assertEqual(emitted_events(effects, TopicChanged), [])
        poll = calls(effects, ttypes.PollRequest)[0]
        self.assertEqual(poll.request.held[0].version, VersionMark(0, 0))
        self.assertEqual(self.link.body(CONFIGURATION).document, self.old)
        self.updates(poll, 2.3, configuration(2, self.new))
        self.assertEqual(self.link.body(CONFIGURATION).document, self.new)

    def test_members_delta_applies_only_to_its_base(self) -> None:
        whole = ttypes.MembersBody([], [ttypes.RoleOwner("k", "a", "i", VersionMark(3, 1))])
        gone = ttypes.MembersDelta([], [], [], ["k"])
        first = TopicUpdate(MEMBERS, VersionMark(3, 1), None, encode(whole))
        delta = TopicUpdate(MEMBERS, VersionMark(3, 3), VersionMark(3, 1), encode(gone))
        misfit = TopicUpdate(MEMBERS, VersionMark(3, 4), VersionMark(3, 2), encode(gone))
        self.updates(self.poll(1.0), 1.1, first)
        self.assertIsNotNone(self.link.role_owner("k"))
        self.updates(self.poll(2.0), 2.1, delta)
        self.assertIsNone(self.link.role_owner("k"))
        self.updates(self.poll(3.0), 3.1, misfit)
        self.assertEqual(self.link.version(MEMBERS), VersionMark(3, 3))
        held = {entry.topic: entry.version for entry in self.poll(4.0).request.held}
        self.assertEqual(held[MEMBERS], VersionMark(0, 0))

    def test_overdue_poll_is_sent_again(self) -> None:
        self.poll(1.0)
        call = self.renew(2.0)
        newest = [ttypes.TopicMark(CONFIGURATION, VersionMark(3, 5))]
        answer = ttypes.RenewLeaseAnswer(True, 3000, [], 3, call.address, newest)
        self.assertEqual(len(calls(self.answer(call, answer, 2.1), ttypes.PollRequest)), 1)

    def test_early_empty_answer_renews_and_delays_the_next_poll(self) -> None:
        effects = self.updates(self.poll(1.0), 1.1)
        self.assertEqual(len(emitted_events(effects, RenewalRequested)), 1)
        self.assertEqual(calls(effects, ttypes.PollRequest), [])
        effects = self.updates(self.poll(2.0), 12.0)
        self.assertEqual(len(calls(effects, ttypes.PollRequest)), 1)

    def test_unreadable_body_delays_the_next_poll(self) -> None:
        bad = TopicUpdate(PLAN, VersionMark(3, 1), None, b"\xff\xff")
        effects = self.updates(self.poll(1.0), 1.1, bad)
        self.assertEqual(calls(effects, ttypes.PollRequest), [])
        self.assertTrue(any(isinstance(e, fx.StartTimer) and e.name == "poll" for e in effects))


class PublishTest(CoreLinkTestCase):
    def publish(self, now: float, version: int) -> list[fx.Effect]:
        body = ttypes.PlanBody(version, [], [], "test")
        record = ttypes.DecisionRecord(None, None, "plan", "c", f"plan {version}", 0)
        effects = self.link.publish(PLAN, ROLE_PLACER, body, [record], now)
        sent = [self.link.handle(e.event, now) for e in effects if isinstance(e, EmitEvent)]
        return calls(
            [e for effects_of_event in sent for e in effects_of_event], ttypes.PublishRequest
        )

    def test_nothing_is_published_without_a_grant(self) -> None:
        self.assertEqual(self.publish(1.0, 1), [])

    def test_publication_is_not_sent_after_the_grant_ends(self) -> None:
        self.grant(self.renew(10.0), 10.1, GRANT)
        (call,) = self.publish(10.2, 1)
        self.assertEqual(call.not_after, 13.0)

    def test_retry_sends_only_the_newest_body_with_all_decisions(self) -> None:
        self.grant(self.renew(10.0), 10.1, GRANT)
        (first,) = self.publish(10.2, 1)
        self.assertEqual(self.publish(10.3, 2), [])
        self.link.handle(ev.CallFailed(first.call_id, "deadline", True), 11.2)
        (second,) = calls(self.link.handle(ev.TimerFired("publish"), 11.4), ttypes.PublishRequest)
        self.assertEqual(second.request.sequence, 2)
        self.assertEqual([r.sequence for r in second.request.decisions], [1, 2])

    def test_accepted_sequence_is_kept_across_primaries(self) -> None:
        self.grant(self.renew(10.0), 10.1, GRANT)
        (first,) = self.publish(10.2, 1)
        self.publish(10.3, 2)
        self.assertEqual(self.sequences(), (2, 0))
        self.answer(first, ttypes.PublishAnswer(True, "", first.address), 10.4)
        self.assertEqual(self.sequences(), (2, 1))
        self.grant(self.renew(12.0), 12.1, GRANT, epoch=6)
        self.assertEqual(self.sequences(), (2, 1))

    def sequences(self) -> tuple[int, int]:
        return self.link.published_sequence(PLAN), self.link.accepted_sequence(PLAN)

    def test_new_primary_gets_the_publication_under_the_same_sequence(self) -> None:
        self.grant(self.renew(10.0), 10.1, GRANT)
        (first,) = self.publish(10.2, 1)
        self.answer(first, ttypes.PublishAnswer(True, "", first.address), 10.3)
        self.assertEqual(
            calls(self.grant(self.renew(11.0), 11.1, GRANT), ttypes.PublishRequest), []
        )
        again = calls(self.grant(self.renew(12.0), 12.1, GRANT, epoch=6), ttypes.PublishRequest)
        self.assertEqual(again[0].request.sequence, 1)
        self.assertEqual(len(again[0].request.decisions), 1)


class CoreFinderTest(unittest.TestCase):
    # Guards against a node that asks a dead core for ever because its address is listed twice.
    def test_an_address_that_is_listed_twice_does_not_end_the_search(self) -> None:
        finder = CoreFinder(SEEDS, Random(3))
        finder.update_seeds((SEEDS[0], SEEDS[1], SEEDS[1], SEEDS[2]))
        asked = []
        for _ in range(6):
            asked.append(finder.address)
            finder.record_failure(finder.address)
        self.assertEqual(set(asked), set(SEEDS))
        self.assertEqual(set(CoreFinder((SEEDS[0], *SEEDS), Random(3)).seeds), set(SEEDS))

    def test_finder_tries_all_seeds_and_follows_a_redirect(self) -> None:
        finder = CoreFinder(SEEDS, Random(3))
        tried = set()
        for _ in SEEDS:
            tried.add(finder.address)
            finder.record_failure(finder.address)
        self.assertEqual(tried, set(SEEDS))
        finder.record_redirect(finder.address, "core-x:1")
        self.assertEqual(finder.address, "core-x:1")

    def test_mutual_redirects_back_off(self) -> None:
        finder = CoreFinder(SEEDS, Random(3))
        backoffs = []
        for _ in range(10):
            other = SEEDS[(SEEDS.index(finder.address) + 1) % 3]
            backoffs.append(finder.record_redirect(finder.address, other))
        self.assertGreaterEqual(min(backoffs[5:]), MAX_BACKOFF_S / 2)

    def test_node_without_topics_retries_more_often(self) -> None:
        finder = CoreFinder(SEEDS, Random(3), starting=True)
        backoffs = [finder.record_failure(finder.address) for _ in range(10)]
        self.assertLessEqual(max(backoffs), MAX_STARTING_BACKOFF_S)
        self.assertGreaterEqual(min(backoffs), MAX_STARTING_BACKOFF_S / 3)
        finder.starting = False
        self.assertGreater(max(finder.record_failure(finder.address) for _ in range(10)), 0.2)

    def test_backoff_differs_between_nodes(self) -> None:
        backoffs = {CoreFinder(SEEDS, Random(seed)).record_failure(SEEDS[0]) for seed in range(20)}
        self.assertEqual(len(backoffs), 20)


class GroupStart(CoreLinkTestCase):
    """A node reports the group's first start only as long as it has heard of no primary."""

    def link_of(self, *, started_with_group: bool) -> CoreLink:
        settings = attrs.evolve(
            node_settings("front-1", "front", "z1", SEEDS), started_with_group=started_with_group
        )
        link = CoreLink(settings, ProcessContext("front-1", "i1", Random(1), Identifiers()))
        link.handle(ev.Started(), 0.0)
        return link

    def test_a_node_of_the_first_start_reports_it_until_a_primary_answers(self) -> None:
        self.link = self.link_of(started_with_group=True)
        call = self.renew(1.0)
        self.assertTrue(call.request.group_is_starting)
        rejected = ttypes.RenewLeaseAnswer(False, 0, [], 0, "", [])
        self.answer(call, rejected, 1.1)
        call = self.renew(2.0)
        self.assertTrue(call.request.group_is_starting)
        self.grant(call, 2.1)
        self.assertIsNone(self.renew(3.0).request.group_is_starting)

    def test_a_node_with_a_configuration_reports_nothing(self) -> None:
        self.link = self.link_of(started_with_group=True)
        self.updates(self.poll(1.0), 1.1, configuration(1, b"{}"))
        self.assertIsNone(self.renew(1.2).request.group_is_starting)

    def test_a_node_that_was_started_later_reports_nothing(self) -> None:
        self.link = self.link_of(started_with_group=False)
        self.assertIsNone(self.renew(1.0).request.group_is_starting)
