"""The operators' API: parsing, forwarding, and the responses when a core's answer is lost.

Guards against a 503 ("not accepted") for an order that a core may have accepted."""

import json
import unittest
from random import Random

import attrs

from rooklug.api.build import build_operator_components
from rooklug.api.forwarding import FORWARD_DEADLINE_S, Forwarder
from rooklug.config.patching import digest
from rooklug.config.problems import Problem, parse_problem
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.composite import CompositeReducer
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.model.settings import NodeSettings
from rooklug.wire.generated.control import ttypes as wire

SEEDS = ("127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1")
DOCUMENT = b'{"regions": {}}'


@attrs.define
class FakeCoreLink:
    primary_address: str = ""
    connected: bool = True
    bodies: dict = attrs.field(factory=dict)

    def body(self, topic: str) -> object:
        return self.bodies.get(topic)

    def members(self) -> list:
        return []


def settings() -> NodeSettings:
    own = "127.0.1.1:1"
    return NodeSettings("front-1", "front", "z", "r", own, own, own, own, SEEDS)


def change_answer(outcome: str, **fields: object) -> wire.SubmitChangeAnswer:
    known = {"version": 0, "digest": "", "problems": [], "primary_address": "", "repeated": False}
    return wire.SubmitChangeAnswer(outcome=outcome, **{**known, **fields})


class Front:
    """A front that only has the operators' API, driven by events; time advances with its timers."""

    def __init__(self) -> None:
        self.link = FakeCoreLink(primary_address=SEEDS[0])
        self.context = ProcessContext("front-1", "i", Random(1), Identifiers())
        components = build_operator_components(settings(), self.context, self.link)
        self.reducer = CompositeReducer(components)
        self.now = 100.0

    def request(self, method: str, path: str, body: bytes = b"", query=None, headers=None) -> list:
        event = ev.HttpRequestArrived(1, method, path, query or {}, headers or {}, body)
        return self.reducer.handle(event, self.now)

    def answer(self, call: fx.Call, answer: object) -> list:
        return self.reducer.handle(ev.CallAnswered(call.call_id, answer), self.now)

    def fail(self, call: fx.Call, maybe_delivered: bool) -> list:
        return self.reducer.handle(ev.CallFailed(call.call_id, "lost", maybe_delivered), self.now)

    def run_retry_timers(self, effects: list) -> list:
        """Advance the time and fire retry timers until there is another effect."""
        while len(effects) == 1 and isinstance(effects[0], fx.StartTimer):
            self.now += effects[0].delay_s
            effects = self.reducer.handle(ev.TimerFired(effects[0].name), self.now)
        return effects


def body_of(effects: list) -> dict:
    return json.loads(effects[0].body)


class ParsingTest(unittest.TestCase):
    def test_invalid_requests_are_rejected_without_a_call(self) -> None:
        cases = [
            ("PUT", "/v1/config/0", b"x", {}, 400),
            ("PUT", "/v1/config/01", b"x", {}, 400),
            ("PUT", "/v1/config/-1", b"x", {}, 400),
            ("PUT", "/v1/config/9007199254740992", b"x", {}, 400),
            ("PUT", "/v1/config/99999999999999999999", b"x", {}, 400),
            ("PUT", "/v1/config/1e3", b"x", {}, 400),
            ("PUT", "/v1/config/1", b"", {}, 400),
            ("PATCH", "/v1/config/2", b"{}", {}, 400),
            ("PATCH", "/v1/config/2", b"{}", {"base": "x"}, 400),
            ("POST", "/v1/config/2", b"{}", {}, 405),
            ("PUT", "/v1/config", b"{}", {}, 405),
            ("PUT", "/v1/config/1/2", b"{}", {}, 404),
            ("GET", "/v1/configuration", b"", {}, 404),
            ("POST", "/v1/zones/a/drop", b"", {}, 404),
            ("POST", "/v1/zones/a/empty", b"", {}, 400),
            ("GET", "/v1/decisions", b"", {"after": "1.2"}, 400),
            ("GET", "/v1/decisions", b"", {"after": "1.2.-3"}, 400),
            ("GET", "/v1/decisions", b"", {"wait_ms": "soon"}, 400),
        ]
        for method, path, body, query, status in cases:
            effects = Front().request(method, path, body, query)
            self.assertEqual([effect.status for effect in effects], [status], (method, path))
            self.assertIn("code", body_of(effects)["error"])

    def test_change_carries_the_exact_bytes(self) -> None:
        call = Front().request("PATCH", "/v1/config/7", DOCUMENT, {"base": "6"})[0]
        self.assertEqual(call.address, SEEDS[0])
        expected = wire.SubmitChangeRequest(7, digest(DOCUMENT), DOCUMENT, True, 6)
        self.assertEqual(call.request, expected)

    def test_problem_lines_are_read_back(self) -> None:
        for path in ("", "a.b[0].c-d", 'routes["x: y"].kind', "[3]", "document"):
            problem = Problem(path, "must be: so")
            self.assertEqual(parse_problem(str(problem)), problem)
        self.assertEqual(parse_problem("no path here"), Problem("", "no path here"))


class ForwardingTest(unittest.TestCase):
    def put(self, front: Front) -> fx.Call:
        return front.request("PUT", "/v1/config/3", DOCUMENT)[0]

    def test_answers_of_the_primary(self) -> None:
        cases = [
            (change_answer("accepted", version=3, repeated=True), 200, {"repeated": True}),
            (change_answer("conflict", version=5, digest="ab"), 409, None),
            (change_answer("invalid", problems=["a.b: bad", "(document): worse"]), 400, None),
        ]
        for answer, status, expected in cases:
            front = Front()
            effects = front.answer(self.put(front), answer)
            self.assertEqual(effects[0].status, status)
            if expected:
                self.assertEqual(body_of(effects)["repeated"], True)
            elif status == 409:
                error = body_of(effects)["error"]
                self.assertEqual((error["newest"], error["winner_digest"]), (5, "ab"))
            else:
                listed = body_of(effects)["error"]["problems"]
                self.assertEqual(listed[0], {"path": "a.b", "message": "bad"})
                self.assertEqual(listed[1], {"path": "", "message": "worse"})

    def test_redirect_is_followed_at_once(self) -> None:
        front = Front()
        effects = front.answer(
            self.put(front), change_answer("not_primary", primary_address=SEEDS[2])
        )
        self.assertEqual(effects[0].address, SEEDS[2])
        self.assertEqual(front.answer(effects[0], change_answer("accepted"))[0].status, 200)

    def test_lost_answer_gives_unknown_outcome(self) -> None:
        front = Front()
        effects = front.run_retry_timers(front.fail(self.put(front), maybe_delivered=True))
        while isinstance(effects[0], fx.Call):
            effects = front.run_retry_timers(front.answer(effects[0], change_answer("unavailable")))
        self.assertEqual((effects[0].status, body_of(effects)["error"]["code"]), (504, "unknown"))

    def test_never_delivered_is_unavailable(self) -> None:
        front = Front()
        effects = front.run_retry_timers(front.fail(self.put(front), maybe_delivered=False))
        while isinstance(effects[0], fx.Call):
            effects = front.run_retry_timers(front.fail(effects[0], maybe_delivered=False))
        self.assertEqual(
            (effects[0].status, body_of(effects)["error"]["code"]), (503, "unavailable")
        )
        self.assertEqual(effects[0].headers["Retry-After"], "1")
        self.assertLessEqual(front.now, 100.0 + FORWARD_DEADLINE_S)

    def test_no_known_core_ends_within_the_deadline(self) -> None:
        front = Front()
        forwarder = Forwarder(Identifiers(), FakeCoreLink(), ())
        effects = forwarder.start(1, wire.ReadConfigurationRequest(True), 0.0)
        now = 0.0
        while isinstance(effects[0], fx.StartTimer):
            now += effects[0].delay_s
            effects = forwarder.handle(ev.TimerFired(effects[0].name), now)
        self.assertEqual(effects[0].status, 503)
        self.assertLessEqual(now, FORWARD_DEADLINE_S)
        del front

    def test_closed_connection_drops_the_request(self) -> None:
        front = Front()
        call = self.put(front)
        front.reducer.handle(ev.HttpRequestClosed(1), front.now)
        self.assertEqual(front.answer(call, change_answer("accepted")), [])

    def test_random_cores_against_an_oracle(self) -> None:
        outcomes = {200: 0, 503: 0, 504: 0}
        for seed in range(400):
            status, taken, lost = self.run_random(Random(seed))
            outcomes[status] += 1
            if status == 200:
                self.assertTrue(taken, seed)
            if status == 503:
                self.assertFalse(taken or lost, seed)
            if status == 504:
                self.assertTrue(lost, seed)
        self.assertTrue(all(outcomes.values()), outcomes)

    def run_random(self, random: Random) -> tuple[int, bool, bool]:
        """Return the response's status, whether a core accepted, and whether an answer was lost."""
        front = Front()
        taken = lost = False
        answer_share = random.choice([0.0, 0.05, 0.3])
        lost_share = random.choice([0.0, 0.02, 0.3])
        effects = [self.put(front)]
        while isinstance(effects[0], fx.Call):
            call, draw = effects[0], random.random()
            if draw < answer_share:
                taken = True
                effects = front.answer(call, change_answer("accepted"))
            elif draw < answer_share + lost_share:
                lost = True
                taken = taken or random.random() < 0.5
                unknown = random.random() < 0.5
                effects = (
                    front.answer(call, change_answer("unknown"))
                    if unknown
                    else front.fail(call, maybe_delivered=True)
                )
            elif random.random() < 0.5:
                hint = random.choice(["", *SEEDS])
                refusal = random.choice(["not_primary", "unavailable"])
                effects = front.answer(call, change_answer(refusal, primary_address=hint))
            else:
                effects = front.fail(call, maybe_delivered=False)
            effects = front.run_retry_timers(effects)
        return effects[0].status, taken, lost


class ReadingTest(unittest.TestCase):
    def test_configuration_is_returned_byte_for_byte(self) -> None:
        front = Front()
        call = front.request("GET", "/v1/config")[0]
        body = wire.ConfigurationBody(4, digest(DOCUMENT), DOCUMENT)
        answer = wire.ReadConfigurationAnswer(True, body, "")
        effects = front.answer(call, answer)
        self.assertEqual((effects[0].status, effects[0].body), (200, DOCUMENT))
        self.assertEqual(effects[0].headers["x-rooklug-version"], "4")
        self.assertEqual(effects[0].headers["x-rooklug-digest"], digest(DOCUMENT))

    def test_local_configuration(self) -> None:
        front = Front()
        self.assertEqual(front.request("GET", "/v1/config/local")[0].status, 404)
        front.link.bodies["configuration"] = wire.ConfigurationBody(4, "d", DOCUMENT)
        self.assertEqual(front.request("GET", "/v1/config/local")[0].body, DOCUMENT)

    def test_decisions_carry_their_cursor(self) -> None:
        front = Front()
        call = front.request("GET", "/v1/decisions", query={"after": "1.2.3", "wait_ms": "99999"})
        self.assertEqual(call[0].request.wait_ms, 10_000)
        self.assertGreater(call[0].deadline_s, 10.0)
        record = wire.DecisionRecord(wire.VersionMark(1, 2), 4, "plan", "configuration 3", "s", 9)
        effects = front.answer(call[0], wire.ReadDecisionsAnswer([record], "", True, False))
        self.assertEqual(body_of(effects)["decisions"][0]["cursor"], "1.2.4")

    def test_status_names_cores_that_do_not_answer(self) -> None:
        front = Front()
        calls = front.request("GET", "/v1/status")
        core = wire.CoreStatus("core-1", "primary", 3, "core-1", ["core-1"], 9, 4, "")
        node = wire.NodeRecord(
            "f", "front", "z", "r", "a:1", "a:2", "i", True, False, wire.VersionMark(3, 4)
        )
        answer = wire.ReadStatusAnswer(core, [node], [], ["zone-x"])
        self.assertEqual(front.answer(calls[0], answer), [])
        self.assertEqual(front.fail(calls[1], maybe_delivered=False), [])
        document = body_of(front.fail(calls[2], maybe_delivered=True))
        self.assertEqual(document["primary"], "core-1")
        self.assertEqual([core.get("unreachable", "") for core in document["cores"]][1], "lost")
        self.assertEqual(document["emptied_zones"], ["zone-x"])

    def test_zone_order_needs_an_operation_id(self) -> None:
        front = Front()
        headers = {"x-rooklug-operation-id": "op-1"}
        call = front.request("POST", "/v1/zones/cairo-a/empty", headers=headers)[0]
        self.assertEqual(call.request, wire.SetZoneRequest("cairo-a", True, "op-1"))
        effects = front.answer(call, wire.SetZoneAnswer("accepted", "", []))
        self.assertEqual(body_of(effects), {"zone": "cairo-a", "emptied": True})
