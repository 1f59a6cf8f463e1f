"""Forwarding, retries, streams and draining of a front's executor."""

import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.gateway.response_handler import MAX_ERROR_BODY_BYTES
from rooklug.gateway.retry_budget import RetryBudgetSettings
from tests.gateway_support import NAMES, GatewayFront, answer_headers, replica, route_item

AT_MOST_ONCE = route_item("once", "/pay/")
IDEMPOTENT = route_item("again", "/again/", execution="repeatable", max_replicas=2)
STREAM = route_item("stream", "/s/", execution="event_stream", service="model", timeout_ms=5000)


def not_executed(call: fx.HttpCall) -> dict[str, str]:
    """Return the headers with which a replica rejects a call."""
    return answer_headers(call, **{NAMES.not_executed: "1"})


class Forwarding(unittest.TestCase):
    def setUp(self):
        self.front = GatewayFront(
            [AT_MOST_ONCE, IDEMPOTENT, STREAM],
            [replica(1), replica(2), replica(3, "model"), replica(4, "model")],
        )

    def test_method_target_and_body_are_forwarded_unchanged(self):
        (call,) = self.front.request("/pay/7?page=1&sort=a%20b", body=b"\x00x")
        self.assertEqual(
            (call.method, call.path, call.body), ("POST", "/pay/7?page=1&sort=a%20b", b"\x00x")
        )
        self.assertEqual(call.headers["host"], "desk.example")

    def test_hop_by_hop_headers_are_removed(self):
        headers = {"connection": "close, x-hop", "x-hop": "1", "te": "trailers", "x-kept": "2"}
        (call,) = self.front.request(headers=headers)
        self.assertNotIn("connection", call.headers)
        self.assertNotIn("x-hop", call.headers)
        self.assertEqual(call.headers["x-kept"], "2")

    def test_the_replica_gets_the_remaining_time_and_its_expected_id(self):
        (call,) = self.front.request(headers={NAMES.deadline_ms: "900"})
        self.assertLessEqual(int(call.headers[NAMES.deadline_ms]), 900)
        self.assertTrue(call.headers[NAMES.expected_replica].startswith("ledger-"))
        (call,) = self.front.request(headers={NAMES.deadline_ms: "90000"})
        self.assertLessEqual(int(call.headers[NAMES.deadline_ms]), 2000)

    def test_a_response_is_forwarded_unchanged(self):
        (call,) = self.front.request()
        (answer,) = self.front.handle(
            ev.HttpAnswered(call.call_id, 500, answer_headers(call), b"failed")
        )
        self.assertEqual((answer.status, answer.body), (500, b"failed"))
        self.assertEqual(answer.headers[NAMES.signature], "signed")

    def test_a_response_to_another_request_is_never_forwarded(self):
        (call,) = self.front.request()
        headers = answer_headers(call, **{NAMES.request_id: "somebody-else"})
        (answer,) = self.front.handle(ev.HttpAnswered(call.call_id, 200, headers, b"theirs"))
        self.assertEqual(answer.status, 502)
        self.assertNotIn(b"theirs", answer.body)

    def test_no_route_and_no_configuration_have_different_statuses(self):
        (answer,) = self.front.request("/nowhere/")
        self.assertEqual(answer.status, 404)
        self.front.decision.view = type(self.front.view)()
        (answer,) = self.front.request("/pay/1")
        self.assertEqual(answer.status, 503)

    def test_a_request_without_an_id_is_refused_at_the_front(self):
        # Such requests went to a replica, which refuses them, on a new connection each.
        (answer,) = self.front.request(headers={NAMES.request_id: ""})
        self.assertEqual(answer.status, 400)
        (answer,) = self.front.request("/nowhere/", headers={NAMES.request_id: ""})
        self.assertEqual(answer.status, 404)

    def test_retry_after_of_a_starting_front_ends_when_it_should_be_ready(self):
        self.front.decision.view = type(self.front.view)()
        started_at = self.front.now
        self.front.handle(ev.Started())
        patient = {NAMES.deadline_ms: "15000"}
        waits = set()
        for _ in range(20):
            (answer,) = self.front.request("/pay/1", headers=patient)
            waits.add(float(answer.headers["retry-after"]))
        self.assertGreaterEqual(min(waits), 1.6)
        self.assertLessEqual(max(waits), 2.2)
        self.assertGreater(len(waits), 10)
        self.front.now = started_at + 1.5
        (answer,) = self.front.request("/pay/1", headers=patient)
        self.assertLess(float(answer.headers["retry-after"]), 0.75)

    def test_a_client_disconnect_cancels_the_call(self):
        (call,) = self.front.request("/s/1")
        http_id = next(iter(self.front.executor.forwarder.by_http))
        self.assertEqual(
            self.front.handle(ev.HttpRequestClosed(http_id)), [fx.CancelHttpCall(call.call_id)]
        )
        self.assertEqual(self.front.executor.active(), 0)


class Retries(unittest.TestCase):
    def setUp(self):
        self.front = GatewayFront([AT_MOST_ONCE, IDEMPOTENT], [replica(1), replica(2), replica(3)])

    def test_an_at_most_once_request_that_may_have_run_is_not_retried(self):
        (call,) = self.front.request("/pay/1")
        (answer,) = self.front.handle(ev.HttpFailed(call.call_id, "reset", ev.SendState.MAYBE_SENT))
        self.assertEqual(answer.status, 502)
        self.assertNotIn("retry-after", answer.headers)

    def test_an_unsent_request_is_tried_elsewhere_even_with_one_allowed_attempt(self):
        (call,) = self.front.request("/pay/1")
        (second,) = self.front.handle(ev.HttpFailed(call.call_id, "refused", ev.SendState.NOT_SENT))
        self.assertNotEqual(second.address, call.address)

    def test_a_rejected_request_with_one_allowed_attempt_gets_retry_after(self):
        (call,) = self.front.request("/pay/1")
        (answer,) = self.front.handle(ev.HttpAnswered(call.call_id, 503, not_executed(call), b""))
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_a_request_that_may_have_run_never_gets_503(self):
        (call,) = self.front.request("/again/1")
        (second,) = self.front.handle(ev.HttpFailed(call.call_id, "reset", ev.SendState.MAYBE_SENT))
        rejection = ev.HttpAnswered(second.call_id, 503, not_executed(second), b"")
        (answer,) = self.front.handle(rejection)
        self.assertEqual(answer.status, 502)

    def test_a_request_is_sent_to_no_more_replicas_than_the_route_allows(self):
        (call,) = self.front.request("/again/1")
        (call,) = self.front.handle(ev.HttpFailed(call.call_id, "r", ev.SendState.MAYBE_SENT))
        (answer,) = self.front.handle(ev.HttpFailed(call.call_id, "r", ev.SendState.MAYBE_SENT))
        self.assertIsInstance(answer, fx.HttpRespond)

    def test_without_a_retry_budget_nothing_is_retried(self):
        front = GatewayFront(
            [IDEMPOTENT], [replica(1), replica(2)], budget=RetryBudgetSettings(0.0, 10.0, 0.0)
        )
        (call,) = front.request("/again/1")
        (answer,) = front.handle(ev.HttpFailed(call.call_id, "r", ev.SendState.MAYBE_SENT))
        self.assertEqual(answer.status, 502)

    def test_a_request_past_its_deadline_gets_504(self):
        (call,) = self.front.request("/again/1")
        self.front.now += 2.03
        (answer,) = self.front.handle(
            ev.HttpFailed(call.call_id, "deadline", ev.SendState.MAYBE_SENT)
        )
        self.assertEqual(answer.status, 504)

    def test_a_replaced_replica_uses_up_no_attempt(self):
        (call,) = self.front.request("/pay/1")
        rejection = ev.HttpAnswered(call.call_id, 421, answer_headers(call), b"")
        (second,) = self.front.handle(rejection)
        self.assertNotEqual(second.address, call.address)


class Streams(unittest.TestCase):
    def setUp(self):
        self.front = GatewayFront([STREAM], [replica(1, "model"), replica(2, "model")])
        (self.call,) = self.front.request("/s/1", headers={NAMES.deadline_ms: "5000"})

    def start(self, status=200):
        return self.front.handle(
            ev.HttpResponseStarted(self.call.call_id, status, answer_headers(self.call))
        )

    def chunk(self, data):
        return self.front.handle(ev.HttpBodyChunk(self.call.call_id, data))

    def test_events_are_forwarded_as_they_arrive(self):
        (head,) = self.start()
        self.assertEqual(head.status, 200)
        (chunk,) = self.chunk(b"id: 1\ndata: a\n\n")
        self.assertEqual(chunk.data, b"id: 1\ndata: a\n\n")
        (end,) = self.front.handle(ev.HttpResponseCompleted(self.call.call_id))
        self.assertIsInstance(end, fx.HttpStreamEnd)

    def test_an_incomplete_event_is_held_back(self):
        self.start()
        self.assertEqual(self.chunk(b"id: 1\nda"), [])
        (chunk,) = self.chunk(b"ta: a\n\nid: 2")
        self.assertEqual(chunk.data, b"id: 1\ndata: a\n\n")

    def test_a_broken_stream_is_aborted(self):
        self.start()
        self.chunk(b"id: 1\ndata: a\n\n")
        (end,) = self.front.handle(
            ev.HttpFailed(self.call.call_id, "reset", ev.SendState.RESPONDING)
        )
        self.assertIsInstance(end, fx.HttpStreamAbort)

    def test_a_stream_that_ends_within_an_event_is_aborted(self):
        self.start()
        self.chunk(b"id: 1\ndata: a\n\nid: 2\nda")
        (end,) = self.front.handle(ev.HttpResponseCompleted(self.call.call_id))
        self.assertIsInstance(end, fx.HttpStreamAbort)

    def test_response_headers_of_another_request_are_not_forwarded(self):
        headers = answer_headers(self.call, **{NAMES.request_id: "other"})
        effects = self.front.handle(ev.HttpResponseStarted(self.call.call_id, 200, headers))
        self.assertIn(fx.CancelHttpCall(self.call.call_id), effects)
        self.assertEqual(effects[-1].status, 502)

    def test_a_replicas_error_response_is_forwarded_complete(self):
        self.assertEqual(self.start(500), [])
        self.assertEqual(self.chunk(b"sorry"), [])
        (answer,) = self.front.handle(ev.HttpResponseCompleted(self.call.call_id))
        self.assertEqual((answer.status, answer.body), (500, b"sorry"))

    def test_a_long_error_response_is_not_truncated(self):
        self.start(500)
        for _ in range(3):
            self.chunk(b"x" * 40_000)
        (answer,) = self.front.handle(ev.HttpResponseCompleted(self.call.call_id))
        self.assertEqual(len(answer.body), 120_000)

    def test_an_error_response_beyond_the_size_limit_is_cancelled(self):
        self.start(500)
        half = b"x" * (MAX_ERROR_BODY_BYTES // 2)
        self.assertEqual(self.chunk(half), [])
        self.assertEqual(self.chunk(half), [])
        cancelled, answer = self.chunk(b"x")
        self.assertEqual(cancelled, fx.CancelHttpCall(self.call.call_id))
        self.assertEqual(answer.status, 502)


class Resuming(unittest.TestCase):
    def setUp(self):
        route = {**STREAM, "resumable": True, "max_replicas": 2}
        self.front = GatewayFront([route], [replica(1, "model"), replica(2, "model")])
        (self.call,) = self.front.request("/s/1", headers={NAMES.deadline_ms: "5000"})
        self.start(self.call)

    def start(self, call):
        return self.front.handle(ev.HttpResponseStarted(call.call_id, 200, answer_headers(call)))

    def test_a_broken_stream_is_resumed_after_its_last_complete_event(self):
        self.front.handle(ev.HttpBodyChunk(self.call.call_id, b"id: 1\ndata: a\n\nid: 2\nda"))
        (second,) = self.front.handle(
            ev.HttpFailed(self.call.call_id, "reset", ev.SendState.RESPONDING)
        )
        self.assertNotEqual(second.address, self.call.address)
        self.assertEqual(second.headers[NAMES.resume_after], "1")
        self.assertEqual(self.start(second), [])
        (chunk,) = self.front.handle(ev.HttpBodyChunk(second.call_id, b"id: 2\ndata: b\n\n"))
        self.assertEqual(chunk.data, b"id: 2\ndata: b\n\n")
        (end,) = self.front.handle(ev.HttpResponseCompleted(second.call_id))
        self.assertIsInstance(end, fx.HttpStreamEnd)

    def test_a_resumed_stream_rejected_by_the_second_replica_is_aborted(self):
        (second,) = self.front.handle(
            ev.HttpFailed(self.call.call_id, "reset", ev.SendState.RESPONDING)
        )
        self.front.handle(ev.HttpResponseStarted(second.call_id, 503, not_executed(second)))
        (end,) = self.front.handle(ev.HttpResponseCompleted(second.call_id))
        self.assertIsInstance(end, fx.HttpStreamAbort)

    def test_a_stalled_stream_is_resumed_on_another_replica(self):
        self.front.now += 0.5
        self.assertEqual(self.front.handle(ev.TimerFired("watch")), [])
        self.front.now += 0.8
        cancelled, second = self.front.handle(ev.TimerFired("watch"))
        self.assertEqual(cancelled, fx.CancelHttpCall(self.call.call_id))
        self.assertNotEqual(second.address, self.call.address)


class Draining(unittest.TestCase):
    def test_late_requests_are_accepted_only_if_they_fit_the_grace_period(self):
        long = route_item("long", "/long/", timeout_ms=15000)
        front = GatewayFront([AT_MOST_ONCE, long], [replica(1)])
        front.handle(ev.StopRequested())
        stop_requested_at = front.now
        patient = {NAMES.deadline_ms: "15000"}
        self.assertIsInstance(front.request("/long/1", headers=patient)[0], fx.HttpCall)
        front.now = stop_requested_at + 4.0
        self.assertIsInstance(front.request("/pay/1")[0], fx.HttpCall)
        (answer,) = front.request("/long/1", headers=patient)
        self.assertEqual((answer.status, answer.headers["connection"]), (503, "close"))
        front.now = stop_requested_at + 6.0
        self.assertEqual(front.request("/pay/1")[0].status, 503)
