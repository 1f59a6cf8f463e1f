"""A bug in a reader of input from outside costs only the input, in every component that has one."""

import unittest
import unittest.mock

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers
from rooklug.gateway import executor
from rooklug.gateway.input_reader import InputReader
from rooklug.gateway.listing import ListingWatcher
from rooklug.gateway.operator_api import LISTENER, GatewayOperatorApi
from rooklug.model.internal_events import PrimaryStarted
from tests.gateway_control_support import context, operator_protocol
from tests.gateway_support import GatewayFront, replica, route_item


def raising(*_arguments):
    raise OverflowError("int too big to convert")


class Border(unittest.TestCase):
    def failures(self, samples) -> float:
        name = "gateway_input_reader_failures_total"
        return sum(sample.value for sample in samples if sample.name == name)

    def test_the_first_failure_is_logged_and_each_is_counted(self):
        reader = InputReader("client's request", raising, None)
        self.assertIsNone(reader.read(b""))
        self.assertIsNone(reader.read(b""))
        (log,) = reader.take_logs()
        self.assertIn("int too big to convert", log.fields["traceback"])
        self.assertEqual(reader.take_logs(), [])
        self.assertEqual(self.failures(reader.metrics()), 2.0)

    def test_an_operators_call_whose_reader_raises_gets_400(self):
        protocol = attrs.evolve(operator_protocol(), read_call=raising)
        api = GatewayOperatorApi(protocol, context())
        event = ev.HttpRequestArrived(1, "POST", "/change", {}, {}, b"", listener=LISTENER)
        log, respond = api.handle(event, 0.0)
        self.assertIsInstance(log, fx.Log)
        self.assertEqual(respond.status, 400)
        self.assertEqual(self.failures(api.metrics(0.0)), 1.0)

    def test_a_list_whose_reader_raises_keeps_the_previous_one(self):
        protocol = attrs.evolve(operator_protocol(), read_listing=raising)
        watcher = ListingWatcher(protocol, "10.5.0.1:80", Identifiers())
        call = watcher.handle(PrimaryStarted(3), 0.0)[-1]
        effects = watcher.handle(ev.HttpAnswered(call.call_id, 200, {}, b""), 0.0)
        self.assertTrue(all(isinstance(effect, fx.Log) for effect in effects))
        self.assertEqual(self.failures(watcher.metrics(0.0)), 1.0)

    def test_a_request_whose_reader_raises_gets_400(self):
        front = GatewayFront([route_item("once", "/pay/")], [replica(1)])
        with unittest.mock.patch.object(executor, "read_request", raising):
            effects = front.request()
        self.assertEqual([effect.status for effect in effects if hasattr(effect, "status")], [400])
