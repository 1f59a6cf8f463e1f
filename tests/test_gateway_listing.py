"""The primary polls the platform's list of replicas page by page and publishes changes."""

import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.engine.reducer import Identifiers
from rooklug.gateway.listing import ListingWatcher
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
