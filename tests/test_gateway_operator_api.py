"""The operators' calls at a core: forwarded to the primary, retried, answered in time."""

import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.gateway.operator_api import LISTENER, GatewayOperatorApi
from rooklug.model.internal_events import (
    PrimaryChanged,
)
from rooklug.wire.generated.control.ttypes import (
    SubmitChangeAnswer,
)
from tests.gateway_control_support import PRIMARY, context, operator_protocol


class OperatorCase(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.component = GatewayOperatorApi(operator_protocol(), context())
        self.component.handle(PrimaryChanged(1, PRIMARY), self.now)

    def ask(self, path: str) -> list[fx.Effect]:
        event = ev.HttpRequestArrived(1, "POST", path, {}, {}, b"", listener=LISTENER)
        return self.component.handle(event, self.now)

    def answer(self, call: fx.Call, outcome: str) -> list[fx.Effect]:
        answer = SubmitChangeAnswer(outcome, 2, "", [], "", False)
        return self.component.handle(ev.CallAnswered(call.call_id, answer), self.now)

    def test_outcomes_of_the_primary_become_statuses(self):
        for outcome, status in (("accepted", 200), ("conflict", 412), ("invalid", 400)):
            (call,) = self.ask("/change")
            self.assertEqual(call.address, PRIMARY)
            self.assertTrue(call.request.base_required)
            (respond,) = self.answer(call, outcome)
            self.assertEqual(respond.status, status)

    def test_an_order_that_may_be_taken_is_never_refused(self):
        for ending in ("unknown", "unavailable", "not_primary", None):
            (call,) = self.ask("/change")
            for _ in range(100):
                if ending is None:
                    failed = ev.CallFailed(call.call_id, "cut", True)
                    (effect,) = self.component.handle(failed, self.now)
                else:
                    (effect,) = self.answer(call, ending)
                self.assertIsInstance(effect, fx.StartTimer)
                self.now += 0.1
                (effect,) = self.component.handle(ev.TimerFired(effect.name), self.now)
                if isinstance(effect, fx.HttpRespond):
                    break
                call = effect
            self.assertEqual(effect.status, 503)

    def test_without_a_primary_the_answer_comes_within_a_second(self):
        self.component.handle(PrimaryChanged(2, ""), self.now)
        (timer,) = self.ask("/zone")
        began = self.now
        while isinstance(timer, fx.StartTimer):
            self.now += timer.delay_s
            (timer,) = self.component.handle(ev.TimerFired(timer.name), self.now)
        self.assertEqual(timer.status, 503)
        self.assertLess(self.now - began, 1.0)

    def test_a_call_that_is_none_is_told_so(self):
        (respond,) = self.ask("/other")
        self.assertEqual(respond.status, 404)

    def test_each_zone_order_is_an_order_of_its_own(self):
        (first,) = self.ask("/zone")
        (second,) = self.ask("/zone")
        self.assertNotEqual(first.request.operation_id, second.request.operation_id)
