"""The model request path end to end, in virtual time with scripted replicas."""

import json
import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.front.view_component import RoutingViewChanged
from rooklug.model.internal_events import TopicChanged
from rooklug.wire.generated.control.ttypes import PlanBody, ReplicasBody, VersionMark, ZonesBody
from tests.front_support import (
    FrontHarness,
    answer_of,
    document_of,
    kinds,
    listed,
    loaded,
    node,
)


class ServingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.front = FrontHarness()
        self.front.set_up_site()

    def test_complete_answer(self) -> None:
        self.front.generate()
        call = self.front.call()
        self.assertIn(self.front.replica_of(call), "ab")
        self.assertEqual(json.loads(call.body)["model"], "talk")
        answer = document_of(self.front.complete(call, "x", "y"))
        self.assertEqual((answer["text"], answer["pieces"], answer["end"]), ("xy", 2, True))

    def test_stream_ends_only_after_the_replica_ends_it(self) -> None:
        http_id = self.front.generate(stream=True)
        call = self.front.call()
        self.assertEqual(self.front.begin(call), [])
        first = self.front.lines(call, "x")
        self.assertEqual(kinds(first), ["HttpStreamStart", "HttpStreamChunk"])
        last = self.front.end(call, 1)
        self.assertEqual(kinds(last)[:2], ["HttpStreamChunk", "HttpStreamEnd"])
        self.assertEqual(json.loads(last[0].data)["pieces"], 1)
        self.assertEqual(last[0].request_id, http_id)

    def test_failure_after_first_byte_aborts_stream(self) -> None:
        for state in (ev.SendState.RESPONDING, ev.SendState.MAYBE_SENT):
            self.front.generate(stream=True)
            call = self.front.call()
            self.front.begin(call)
            self.front.lines(call, "x")
            broken = kinds(self.front.fail(call, state))
            self.assertIn("HttpStreamAbort", broken)
            self.assertNotIn("HttpStreamEnd", broken)
            self.assertNotIn("HttpCall", broken)

    def test_caller_disconnect_cancels_attempt(self) -> None:
        http_id = self.front.generate(stream=True)
        call = self.front.call()
        effects = self.front.feed(ev.HttpRequestClosed(http_id))
        self.assertEqual(effects, [fx.CancelHttpCall(call.call_id)])
        self.assertEqual(self.front.by_name["generate"].active_requests(), 0)

    def test_deadline_is_passed_to_replica(self) -> None:
        self.front.generate(headers={"x-rooklug-deadline-ms": "1500"})
        call = self.front.call()
        self.assertEqual(call.headers["x-rooklug-deadline-ms"], "1500")
        self.assertAlmostEqual(call.deadline_s, 1.5)
        self.assertAlmostEqual(call.not_after, self.front.now + 1.5)

    def test_possibly_run_request_is_answered_unknown_at_deadline(self) -> None:
        self.front.generate(headers={"x-rooklug-deadline-ms": "1500"})
        call = self.front.call()
        self.front.now += 1.5
        effects = self.front.fail(call, ev.SendState.MAYBE_SENT)
        self.assertEqual(answer_of(effects).status, 504)
        self.assertEqual(document_of(effects)["outcome"], "unknown")
        self.assertGreaterEqual(int(answer_of(effects).headers["Retry-After"]), 1)


class RefusalTest(unittest.TestCase):
    def test_without_a_plan_refused_with_retry_after(self) -> None:
        front = FrontHarness()
        front.configure()
        front.generate()
        answer = answer_of(front.last)
        self.assertEqual((answer.status, answer.headers["Retry-After"]), (503, "1"))
        self.assertEqual(document_of(front.last)["outcome"], "not_run")

    def test_invalid_input_gets_error_code(self) -> None:
        front = FrontHarness()
        front.set_up_site()
        front.generate("nothing")
        self.assertEqual(answer_of(front.last).status, 404)
        front.generate("results")
        self.assertEqual(answer_of(front.last).status, 404)
        front.generate(headers={"x-rooklug-deadline-ms": "1e3"})
        self.assertEqual(answer_of(front.last).status, 400)
        for body in ({"max_tokens": 0}, {"prompt_tokens": True}, {"prompt_parts": [1]},
                     {"model": "other"}, {"stream": 1}, {"prompt_tokens": 1.5}):  # fmt: skip
            front.generate(**body)
            self.assertEqual(document_of(front.last)["error"]["code"], "invalid", body)

    def test_ready_and_drain(self) -> None:
        front = FrontHarness()
        ready = ev.HttpRequestArrived(1, "GET", "/v1/ready", {}, {}, b"")
        self.assertEqual(answer_of(front.feed(ready)).status, 503)
        front.set_up_site()
        self.assertEqual(answer_of(front.feed(ready)).status, 200)
        self.assertTrue(front.core_link.ready)
        front.generate()
        call = front.call()
        front.feed(ev.StopRequested())
        self.assertEqual(answer_of(front.feed(ready)).status, 503)
        self.assertTrue(front.core_link.draining)
        self.assertNotIn("StopProcess", kinds(front.advance(5)))
        front.generate()
        self.assertEqual(answer_of(front.last).status, 307)
        front.complete(call, "x")
        self.assertIn(fx.StopProcess(0, "drained"), front.advance(1))

    def test_front_in_drained_zone_is_not_ready(self) -> None:
        front = FrontHarness()
        front.set_up_site()
        front.drain_zones("n1")
        ready = ev.HttpRequestArrived(1, "GET", "/v1/ready", {}, {}, b"")
        self.assertEqual(document_of(front.feed(ready))["reason"], "zone emptied")
        front.generate()
        self.assertEqual(answer_of(front.last).status, 307)


class ViewTest(unittest.TestCase):
    def test_queue_uses_newest_view_when_two_topics_change(self) -> None:
        """When the first topic's event is handled, the view may already contain the second."""
        front = FrontHarness()
        front.set_up_site()
        front.generate()
        while "HttpCall" in kinds(front.last):
            front.generate()
        older = front.by_name["routing-view"].view
        view_component = front.by_name["routing-view"]
        replicas = ReplicasBody([listed("d", "n1", "north")])
        view_component.handle(TopicChanged("replicas", VersionMark(2, 1), replicas), front.now)
        view_component.handle(TopicChanged("plan", VersionMark(2, 1),
                                   PlanBody(1, [loaded("d")], [], "")), front.now)  # fmt: skip
        front.by_name["generate"].handle(RoutingViewChanged(older), front.now)
        calls = [effect for effect in front.advance(2) if isinstance(effect, fx.HttpCall)]
        self.assertEqual({front.replica_of(call) for call in calls}, {"d"})

    def test_older_topic_version_is_ignored(self) -> None:
        front = FrontHarness()
        front.set_up_site()
        front.drain_zones()
        self.assertEqual(front.topic("zones", ZonesBody(["n1"]), VersionMark(0, 9)), [])
        self.assertFalse(front.by_name["routing-view"].view.own_zone_drained)


class HomeTest(unittest.TestCase):
    def test_redirected_before_the_body_is_read(self) -> None:
        front = FrontHarness()
        front.set_up_site()
        front.generate("bound")
        answer = answer_of(front.last)
        self.assertEqual(answer.status, 307)
        self.assertEqual(document_of(front.last)["front"]["region"], "south")
        self.assertTrue(answer.headers["Location"].endswith("/v1/generate"))

    def test_bound_route_without_home_front_is_refused(self) -> None:
        front = FrontHarness()
        front.set_up_site()
        front.members(node("f1", "n1", "north"))
        front.generate("bound")
        self.assertEqual(answer_of(front.last).status, 503)
        self.assertEqual(document_of(front.last)["error"]["code"], "no_home")

    def test_bound_route_is_not_served_outside_home(self) -> None:
        front = FrontHarness()
        front.set_up_site()
        front.plan([], [])
        front.generate("home")
        self.assertEqual(document_of(front.last)["error"]["code"], "no_replica")


class DemandTest(unittest.TestCase):
    def test_demand_is_reported_to_the_placer(self) -> None:
        front = FrontHarness()
        front.set_up_site()
        front.advance(1.5)
        front.generate()
        front.complete(front.call(), "x", "y")
        front.plan([], [])
        front.generate()
        reports = [effect for effect in front.advance(1) if isinstance(effect, fx.Call)]
        (entry,) = reports[0].request.entries
        self.assertEqual(reports[0].address, "127.0.0.30:7000")
        self.assertEqual(entry.source_region, "north")
        self.assertAlmostEqual(entry.requests_per_s, 2.0)
        self.assertAlmostEqual(entry.refused_per_s, 1.0)
        self.assertEqual(reports[0].request.observations[0].successes, 1)


class WhereTest(unittest.TestCase):
    def ask(self, front: FrontHarness, body: dict, region: str = "north"):
        front.next_http_id += 1
        arrived = ev.HttpRequestArrived(
            front.next_http_id, "POST", "/v1/where", {}, {"x-rooklug-region": region},
            json.dumps(body).encode(),
        )  # fmt: skip
        return front.feed(arrived)

    def test_own_region_unless_home_excludes_it(self) -> None:
        front = FrontHarness()
        front.set_up_site()
        answer = document_of(self.ask(front, {"route": "banter"}))
        self.assertEqual(answer["front"]["region"], "north")
        answer = document_of(self.ask(front, {"route": "bound"}))
        self.assertEqual(answer["front"]["region"], "south")
        self.assertEqual(answer["alternatives"], [])

    def test_unready_and_draining_fronts_and_drained_zones_are_not_named(self) -> None:
        front = FrontHarness()
        front.set_up_site()
        front.members(
            node("f1", "n1", "north", ready=False),
            node("f22", "n2", "north", draining=True),
            node("f333", "s1", "south"),
        )
        self.assertEqual(document_of(self.ask(front, {"route": "banter"}))["front"]["node_id"],
                         "f333")  # fmt: skip
        front.drain_zones("s1")
        self.assertEqual(answer_of(self.ask(front, {"route": "banter"})).status, 503)

    def test_unknown_route_and_invalid_body(self) -> None:
        front = FrontHarness()
        front.set_up_site()
        self.assertEqual(answer_of(self.ask(front, {"route": "x"})).status, 404)
        self.assertEqual(answer_of(self.ask(front, {})).status, 400)
