"""The primary polls the platform's list of replicas page by page and publishes changes."""

import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.engine.reducer import Identifiers
from rooklug.gateway.listing import MAX_LISTED_REPLICAS, ListingWatcher
from rooklug.gateway.protocols import (
    ListingPage,
)
from rooklug.model.internal_events import (
    PrimaryStarted,
    PrimaryStopped,
    TopicOffered,
)
from rooklug.model.topics import REPLICAS
from tests.gateway_control_support import listed, operator_protocol


class Listing(unittest.TestCase):
    def setUp(self):
        self.pages = {
            "one": ListingPage((listed(2),), "next"),
            "two": ListingPage((listed(1),), ""),
            "warm": ListingPage((listed(1), listed(2)), ""),
            "gone": ListingPage((listed(1, leaving=True), listed(2)), ""),
        }
        self.component = ListingWatcher(operator_protocol(self.pages), "10.5.0.1:80", Identifiers())

    def read(self, body: str) -> list[fx.Effect]:
        return self.component.handle(ev.HttpAnswered(self.call_id, 200, {}, body.encode()), 0.0)

    def start(self, event=None) -> list[fx.Effect]:
        effects = self.component.handle(event or PrimaryStarted(3), 0.0)
        self.call_id = effects[-1].call_id
        return effects

    def offered(self, effects) -> TopicOffered:
        events = [effect.event for effect in effects if isinstance(effect, EmitEvent)]
        return next(event for event in events if isinstance(event, TopicOffered))

    def test_all_pages_make_one_list(self):
        self.start()
        (second,) = self.read("one")
        self.assertEqual(second.path, "/list/next")
        self.call_id = second.call_id
        offer = self.offered(self.read("two"))
        self.assertEqual((offer.topic, offer.epoch, offer.sequence), (REPLICAS, 3, 1))
        self.assertEqual([r.replica_id for r in offer.body.replicas], ["r-1", "r-2"])

    def test_an_unchanged_list_is_not_distributed_again(self):
        self.start()
        self.assertTrue(self.read("warm"))
        self.start(ev.TimerFired("read"))
        self.assertEqual(self.read("warm"), [])
        self.start(ev.TimerFired("read"))
        self.assertEqual(self.offered(self.read("gone")).sequence, 2)

    def test_only_the_primary_polls(self):
        self.start()
        self.component.handle(PrimaryStopped("lease"), 0.0)
        self.assertEqual(self.read("warm"), [])
        self.assertEqual(self.component.handle(ev.TimerFired("read"), 0.0), [])

    def test_a_new_term_distributes_the_list_again(self):
        self.start()
        self.read("warm")
        self.component.handle(PrimaryStopped("lease"), 0.0)
        self.start(PrimaryStarted(9))
        self.assertEqual(self.offered(self.read("warm")).epoch, 9)

    def test_a_failed_read_is_followed_by_another(self):
        self.start()
        self.component.handle(ev.HttpFailed(self.call_id, "cut", ev.SendState.MAYBE_SENT), 0.0)
        self.start(ev.TimerFired("read"))
        self.assertTrue(self.read("warm"))

    def test_entries_left_out_are_logged_once_and_counted(self):
        self.pages["partly"] = ListingPage((listed(1),), "", ("address 7 of entry 'x'",))
        self.start()
        effects = self.read("partly")
        self.assertEqual(self.offered(effects).body.replicas, [listed(1)])
        (log,) = [effect for effect in effects if isinstance(effect, fx.Log)]
        self.assertIn("left out", log.message)
        self.assertEqual(self.metric("gateway_list_entries_rejected"), 1.0)
        self.start(ev.TimerFired("read"))
        self.assertEqual(self.read("partly"), [])

    def test_a_list_with_unusable_entries_only_keeps_the_previous_one(self):
        # Publishing it would take every replica out of service.
        self.pages["unusable"] = ListingPage((), "", ("id None of entry None",))
        self.pages["unusable-end"] = ListingPage((), "", ("id None of entry None",))
        self.pages["first"] = ListingPage((listed(1),), "next")
        self.start()
        self.assertTrue(self.read("warm"))
        self.start(ev.TimerFired("read"))
        logs = self.read("unusable")
        self.assertTrue(all(isinstance(effect, fx.Log) for effect in logs))
        self.assertEqual(self.metric("gateway_lists_unreadable_total"), 1.0)
        self.start(ev.TimerFired("read"))
        (second,) = self.read("first")
        self.call_id = second.call_id
        offer = self.offered(self.read("unusable-end"))
        self.assertEqual([r.replica_id for r in offer.body.replicas], ["r-1"])

    def test_a_list_beyond_the_bound_keeps_the_previous_one(self):
        self.pages["many"] = ListingPage((listed(1),) * (MAX_LISTED_REPLICAS + 1), "next")
        self.start()
        (log,) = self.read("many")
        self.assertIsInstance(log, fx.Log)

    def metric(self, name: str) -> float:
        return next(sample.value for sample in self.component.metrics(0.0) if sample.name == name)
