import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.gateway.response_handler import MAX_ERROR_BODY_BYTES
from rooklug.gateway.retry_budget import RetryBudgetSettings
from tests.gateway_support import NAMES, GatewayFront, answer_headers, replica, route_item

ONCE = route_item("once", "/pay/")
IDEMPOTENT = route_item("again", "/again/", execution="repeatable", max_replicas=2)
STREAM = route_item("stream", "/s/", execution="event_stream", service="model", timeout_ms=5000)
BUSY = {NAMES.not_executed: "1"}


class PassingThrough(unittest.TestCase):
    def setUp(self):
        self.front = GatewayFront(
            [ONCE, IDEMPOTENT, STREAM],
            [replica(1), replica(2), replica(3, "model"), replica(4, "model")],
        )

    def test_method_target_and_body_go_unchanged(self):
        (call,) = self.front.request("/pay/7?page=1&sort=a%20b", body=b"\x00x")
        self.assertEqual(
            (call.method, call.path, call.body), ("POST", "/pay/7?page=1&sort=a%20b", b"\x00x")
        )
        self.assertEqual(call.headers["host"], "desk.example")

    def test_headers_of_one_connection_stay_behind(self):
        headers = {"connection": "close, x-hop", "x-hop": "1", "te": "trailers", "x-kept": "2"}
        (call,) = self.front.request(headers=headers)
        self.assertNotIn("connection", call.headers)
        self.assertNotIn("x-hop", call.headers)
        self.assertEqual(call.headers["x-kept"], "2")

    def test_the_replica_gets_the_time_that_is_left_and_its_own_name(self):
        (call,) = self.front.request(headers={NAMES.deadline_ms: "900"})
        self.assertLessEqual(int(call.headers[NAMES.deadline_ms]), 900)
        self.assertTrue(call.headers[NAMES.expected_replica].startswith("ledger-"))
        (call,) = self.front.request(headers={NAMES.deadline_ms: "90000"})
        self.assertLessEqual(int(call.headers[NAMES.deadline_ms]), 2000)

    def test_an_answer_goes_back_unchanged(self):
        (call,) = self.front.request()
        (answer,) = self.front.handle(
            ev.HttpAnswered(call.call_id, 500, answer_headers(call), b"failed")
        )
        self.assertEqual((answer.status, answer.body), (500, b"failed"))
        self.assertEqual(answer.headers[NAMES.signature], "signed")

    def test_an_answer_of_another_request_is_never_passed_on(self):
        (call,) = self.front.request()
        headers = answer_headers(call, **{NAMES.request_id: "somebody-else"})
        (answer,) = self.front.handle(ev.HttpAnswered(call.call_id, 200, headers, b"theirs"))
        self.assertEqual(answer.status, 502)
        self.assertNotIn(b"theirs", answer.body)

    def test_no_route_and_no_configuration_are_told_apart(self):
        (answer,) = self.front.request("/nowhere/")
        self.assertEqual(answer.status, 404)
        self.front.decision.view = type(self.front.view)()
        (answer,) = self.front.request("/pay/1")
        self.assertEqual(answer.status, 503)

    def test_clients_of_a_front_that_starts_come_back_when_it_should_be_ready(self):
        self.front.decision.view = type(self.front.view)()
        began = self.front.now
        self.front.handle(ev.Started())
        patient = {NAMES.deadline_ms: "15000"}
        waits = set()
        for _ in range(20):
            (answer,) = self.front.request("/pay/1", headers=patient)
            waits.add(float(answer.headers["retry-after"]))
        self.assertGreaterEqual(min(waits), 1.6)
        self.assertLessEqual(max(waits), 2.2)
        self.assertGreater(len(waits), 10)
        self.front.now = began + 1.5
        (answer,) = self.front.request("/pay/1", headers=patient)
        self.assertLess(float(answer.headers["retry-after"]), 0.75)

    def test_a_client_that_leaves_ends_the_replicas_work(self):
        (call,) = self.front.request("/s/1")
        http_id = next(iter(self.front.executor.forwarder.by_http))
        self.assertEqual(
            self.front.handle(ev.HttpRequestClosed(http_id)), [fx.CancelHttpCall(call.call_id)]
        )
        self.assertEqual(self.front.executor.active(), 0)


class TryingAgain(unittest.TestCase):
    def setUp(self):
        self.front = GatewayFront([ONCE, IDEMPOTENT], [replica(1), replica(2), replica(3)])

    def test_a_request_that_may_have_run_is_not_sent_again(self):
        (call,) = self.front.request("/pay/1")
        (answer,) = self.front.handle(ev.HttpFailed(call.call_id, "reset", ev.SendState.MAYBE_SENT))
        self.assertEqual(answer.status, 502)
        self.assertNotIn("retry-after", answer.headers)

    def test_what_never_left_goes_elsewhere_also_where_one_attempt_is_allowed(self):
        (call,) = self.front.request("/pay/1")
        (second,) = self.front.handle(ev.HttpFailed(call.call_id, "refused", ev.SendState.NOT_SENT))
        self.assertNotEqual(second.address, call.address)

    def test_a_full_replica_of_a_route_with_one_attempt_gives_a_promise_at_once(self):
        (call,) = self.front.request("/pay/1")
        (answer,) = self.front.handle(ev.HttpAnswered(call.call_id, 503, BUSY, b""))
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_a_promise_is_never_given_after_a_run(self):
        (call,) = self.front.request("/again/1")
        (second,) = self.front.handle(ev.HttpFailed(call.call_id, "reset", ev.SendState.MAYBE_SENT))
        (answer,) = self.front.handle(ev.HttpAnswered(second.call_id, 503, BUSY, b""))
        self.assertEqual(answer.status, 502)

    def test_no_more_replicas_than_the_route_allows(self):
        (call,) = self.front.request("/again/1")
        (call,) = self.front.handle(ev.HttpFailed(call.call_id, "r", ev.SendState.MAYBE_SENT))
        (answer,) = self.front.handle(ev.HttpFailed(call.call_id, "r", ev.SendState.MAYBE_SENT))
        self.assertIsInstance(answer, fx.HttpRespond)

    def test_without_budget_nothing_is_repeated(self):
        front = GatewayFront(
            [IDEMPOTENT], [replica(1), replica(2)], budget=RetryBudgetSettings(0.0, 10.0, 0.0)
        )
        (call,) = front.request("/again/1")
        (answer,) = front.handle(ev.HttpFailed(call.call_id, "r", ev.SendState.MAYBE_SENT))
        self.assertEqual(answer.status, 502)

    def test_the_end_of_the_time_is_answered_at_once(self):
        (call,) = self.front.request("/again/1")
        self.front.now += 2.03
        (answer,) = self.front.handle(
            ev.HttpFailed(call.call_id, "deadline", ev.SendState.MAYBE_SENT)
        )
        self.assertEqual(answer.status, 504)

    def test_an_address_that_changed_hands_costs_no_attempt(self):
        (call,) = self.front.request("/pay/1")
        (second,) = self.front.handle(ev.HttpAnswered(call.call_id, 421, {}, b""))
        self.assertNotEqual(second.address, call.address)


class Streams(unittest.TestCase):
    def setUp(self):
        self.front = GatewayFront([STREAM], [replica(1, "model"), replica(2, "model")])
        (self.call,) = self.front.request("/s/1", headers={NAMES.deadline_ms: "5000"})

    def start(self, status=200):
        return self.front.handle(
            ev.HttpResponseStarted(self.call.call_id, status, answer_headers(self.call))
        )

    def piece(self, data):
        return self.front.handle(ev.HttpBodyChunk(self.call.call_id, data))

    def test_events_are_passed_on_as_they_come(self):
        (head,) = self.start()
        self.assertEqual(head.status, 200)
        (piece,) = self.piece(b"id: 1\ndata: a\n\n")
        self.assertEqual(piece.data, b"id: 1\ndata: a\n\n")
        (end,) = self.front.handle(ev.HttpResponseCompleted(self.call.call_id))
        self.assertIsInstance(end, fx.HttpStreamEnd)

    def test_half_an_event_waits_for_its_rest(self):
        self.start()
        self.assertEqual(self.piece(b"id: 1\nda"), [])
        (piece,) = self.piece(b"ta: a\n\nid: 2")
        self.assertEqual(piece.data, b"id: 1\ndata: a\n\n")

    def test_a_stream_that_breaks_never_looks_complete(self):
        self.start()
        self.piece(b"id: 1\ndata: a\n\n")
        (end,) = self.front.handle(
            ev.HttpFailed(self.call.call_id, "reset", ev.SendState.RESPONDING)
        )
        self.assertIsInstance(end, fx.HttpStreamAbort)

    def test_an_end_within_an_event_is_a_break(self):
        self.start()
        self.piece(b"id: 1\ndata: a\n\nid: 2\nda")
        (end,) = self.front.handle(ev.HttpResponseCompleted(self.call.call_id))
        self.assertIsInstance(end, fx.HttpStreamAbort)

    def test_the_head_of_another_request_is_not_passed_on(self):
        headers = answer_headers(self.call, **{NAMES.request_id: "other"})
        effects = self.front.handle(ev.HttpResponseStarted(self.call.call_id, 200, headers))
        self.assertIn(fx.CancelHttpCall(self.call.call_id), effects)
        self.assertEqual(effects[-1].status, 502)

    def test_a_failure_of_the_replica_goes_back_whole(self):
        self.assertEqual(self.start(500), [])
        self.assertEqual(self.piece(b"sorry"), [])
        (answer,) = self.front.handle(ev.HttpResponseCompleted(self.call.call_id))
        self.assertEqual((answer.status, answer.body), (500, b"sorry"))

    def test_a_long_failure_is_not_cut(self):
        self.start(500)
        for _ in range(3):
            self.piece(b"x" * 40_000)
        (answer,) = self.front.handle(ev.HttpResponseCompleted(self.call.call_id))
        self.assertEqual(len(answer.body), 120_000)

    def test_a_failure_without_an_end_is_given_up(self):
        self.start(500)
        piece = b"x" * (MAX_ERROR_BODY_BYTES // 2)
        self.assertEqual(self.piece(piece), [])
        self.assertEqual(self.piece(piece), [])
        cancelled, answer = self.piece(b"x")
        self.assertEqual(cancelled, fx.CancelHttpCall(self.call.call_id))
        self.assertEqual(answer.status, 502)


class Resuming(unittest.TestCase):
    def setUp(self):
        route = {**STREAM, "resumable": True, "max_replicas": 2}
        self.front = GatewayFront([route], [replica(1, "model"), replica(2, "model")])
        (self.call,) = self.front.request("/s/1", headers={NAMES.deadline_ms: "5000"})
        self.begin(self.call)

    def begin(self, call):
        return self.front.handle(ev.HttpResponseStarted(call.call_id, 200, answer_headers(call)))

    def test_a_broken_stream_goes_on_after_its_last_whole_event(self):
        self.front.handle(ev.HttpBodyChunk(self.call.call_id, b"id: 1\ndata: a\n\nid: 2\nda"))
        (second,) = self.front.handle(
            ev.HttpFailed(self.call.call_id, "reset", ev.SendState.RESPONDING)
        )
        self.assertNotEqual(second.address, self.call.address)
        self.assertEqual(second.headers[NAMES.resume_after], "1")
        self.assertEqual(self.begin(second), [])
        (piece,) = self.front.handle(ev.HttpBodyChunk(second.call_id, b"id: 2\ndata: b\n\n"))
        self.assertEqual(piece.data, b"id: 2\ndata: b\n\n")
        (end,) = self.front.handle(ev.HttpResponseCompleted(second.call_id))
        self.assertIsInstance(end, fx.HttpStreamEnd)

    def test_a_refusal_of_the_second_replica_breaks_the_answer_off(self):
        (second,) = self.front.handle(
            ev.HttpFailed(self.call.call_id, "reset", ev.SendState.RESPONDING)
        )
        self.front.handle(ev.HttpResponseStarted(second.call_id, 503, BUSY))
        (end,) = self.front.handle(ev.HttpResponseCompleted(second.call_id))
        self.assertIsInstance(end, fx.HttpStreamAbort)

    def test_a_stream_that_stalls_goes_on_elsewhere(self):
        self.front.now += 0.5
        self.assertEqual(self.front.handle(ev.TimerFired("watch")), [])
        self.front.now += 0.8
        cancelled, second = self.front.handle(ev.TimerFired("watch"))
        self.assertEqual(cancelled, fx.CancelHttpCall(self.call.call_id))
        self.assertNotEqual(second.address, self.call.address)


class Ending(unittest.TestCase):
    def test_late_requests_are_taken_only_if_they_fit_the_grace(self):
        long = route_item("long", "/long/", timeout_ms=15000)
        front = GatewayFront([ONCE, long], [replica(1)])
        front.handle(ev.StopRequested())
        began = front.now
        patient = {NAMES.deadline_ms: "15000"}
        self.assertIsInstance(front.request("/long/1", headers=patient)[0], fx.HttpCall)
        front.now = began + 4.0
        self.assertIsInstance(front.request("/pay/1")[0], fx.HttpCall)
        (answer,) = front.request("/long/1", headers=patient)
        self.assertEqual((answer.status, answer.headers["connection"]), (503, "close"))
        front.now = began + 6.0
        self.assertEqual(front.request("/pay/1")[0].status, 503)
