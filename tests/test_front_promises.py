"""Invariants of the front under random events, checked by an oracle outside the front.

The oracle sees only what callers and replicas see. The mutation test then disables one guard of
the front after the other: the oracle, or the named test, must fail each time.
"""

import json
import unittest
from random import Random
from unittest import mock

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.front import view_building
from rooklug.front.active_request import ActiveRequest
from rooklug.front.affinity import AffinityTable
from rooklug.front.attempt_runner import AttemptRunner
from rooklug.front.balancer import Balancer
from rooklug.front.decision import Decision
from rooklug.front.health import ReplicaHealth
from rooklug.front.limits import RetryBudget
from rooklug.front.routing_view import RoutingView
from rooklug.front.slow_start_admission import SlowStartAdmission
from rooklug.front.slow_start_tracker import SlowStartTracker
from rooklug.front.streams import StreamChecker
from rooklug.front.wait_queue import WaitQueue
from tests import test_front_balancing as balancing
from tests import test_front_path as path
from tests.front_support import FrontHarness, cell, listed, loaded

ZONES = {"a": ("n1", "north"), "b": ("n2", "north"), "c": ("s1", "south")}
FINAL = (fx.HttpRespond, fx.HttpStreamEnd, fx.HttpStreamAbort)


class World:
    """One front with scripted replicas, and the oracle's record of both.

    Attributes:
        open: Calls in flight at replicas, with the number of pieces sent so far.
        calls_of: Ids of the calls of each request, by request id.
        may_have_run: Ids of the calls that may have run at their replica.
        scripts: Pieces that the replica has sent, by call id.
        streamed: Bytes sent to each caller, by HTTP id.
        finals: Final answer of each caller, None after a disconnect, by HTTP id.
        forbidden: Replicas that must not get new requests under the present view.
        seen: Number of effects that have been checked.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.front = FrontHarness(seed)
        self.front.set_up_site()
        self.open: dict[int, int] = {}
        self.calls_of: dict[str, list[int]] = {}
        self.may_have_run: set[int] = set()
        self.scripts: dict[int, list[str]] = {}
        self.streamed: dict[int, bytes] = {}
        self.finals: dict[int, fx.Effect] = {}
        self.forbidden: set[str] = set()
        self.seen = len(self.front.effects)

    def run(self, steps: int) -> None:
        actions = [self.send, self.answer, self.inject_fault, self.disconnect_caller,
                   self.pass_time, self.change_view]  # fmt: skip
        for _ in range(steps):
            self.random.choices(actions, [8, 30, 4, 1, 4, 1])[0]()
            self.check_new_effects()
        for call_id in list(self.open):
            self.end_call(call_id, ev.HttpFailed(call_id, "end", ev.SendState.MAYBE_SENT))
            self.check_new_effects()
        self.front.advance(60)
        self.check_new_effects()
        self.check_settled()

    def send(self) -> None:
        self.front.generate(
            self.random.choice(["banter", "urgent", "home", "bound"]),
            stream=self.random.random() < 0.5,
            prompt_parts=self.random.sample(["p", "q", "r"], self.random.randrange(3)),
        )

    def answer(self) -> None:
        if not self.open:
            return
        call_id = self.random.choice(sorted(self.open))
        call, sent = self.front.calls[call_id], self.open[call_id]
        if sent == 0:
            self.may_have_run.add(call_id)
            self.front.begin(call)
        if self.random.random() < 0.25:
            self.end_call(call_id, None)
            self.front.end(call, len(self.scripts[call_id]))
            return
        piece = f"{call_id}.{sent};"
        self.scripts[call_id].append(piece)
        self.open[call_id] += 1
        self.front.lines(call, piece, start=sent)

    def inject_fault(self) -> None:
        if not self.open:
            return
        call_id = self.random.choice(sorted(self.open))
        call, sent = self.front.calls[call_id], self.open[call_id]
        kind = self.random.choice(["unsent", "maybe", "busy", "cut", "index", "foreign"])
        if kind == "unsent" and sent == 0:
            self.end_call(call_id, ev.HttpFailed(call_id, "", ev.SendState.NOT_SENT))
        elif kind == "busy" and sent == 0:
            self.end_call(call_id, None)
            self.front.refuse(call)
        elif kind in ("index", "foreign") and sent:
            own = json.loads(call.body)["request_id"]
            request_id, index = (own, sent + 1) if kind == "index" else ("r?", sent)
            line = {"request_id": request_id, "index": index, "piece": "spoiled"}
            self.end_call(call_id, ev.HttpBodyChunk(call_id, json.dumps(line).encode() + b"\n"))
        elif kind == "cut" and sent:
            self.end_call(call_id, ev.HttpResponseCompleted(call_id))
        else:
            self.may_have_run.add(call_id)
            self.end_call(call_id, ev.HttpFailed(call_id, "", ev.SendState.MAYBE_SENT))

    def disconnect_caller(self) -> None:
        waiting = [http_id for http_id in self.streamed if http_id not in self.finals]
        if waiting:
            http_id = self.random.choice(waiting)
            self.finals[http_id] = None
            self.front.feed(ev.HttpRequestClosed(http_id))

    def pass_time(self) -> None:
        self.front.advance(self.random.choice([0.01, 0.1, 1.0]))

    def change_view(self) -> None:
        """Publish a random view: replicas leave, unload, restart or warm up, zones are drained.

        Replicas that leave, unload or are in drained zones become ``forbidden``.
        """
        leaving, unloaded = (set(self.random.sample("abc", self.random.randrange(2)))
                             for _ in range(2))  # fmt: skip
        drained = self.random.sample(["n2", "s1"], self.random.randrange(2))
        self.check_new_effects()
        self.forbidden = leaving | unloaded | {n for n in "abc" if ZONES[n][0] in drained}
        self.front.drain_zones(*drained)
        self.front.replicas(*(listed(n, *ZONES[n], leaving=n in leaving) for n in "abc"))
        incarnation = str(self.random.randrange(3))
        replicas = [
            loaded(n, bool(self.random.getrandbits(1)), incarnation,
                   intended_models=[] if n in unloaded else ["talk"])
            for n in "abc"
        ]  # fmt: skip
        homes = ("north",)
        self.front.plan(replicas, [cell("north", "north"), cell("north", "south", 1),
                                   cell("north", "south", homes=homes)])  # fmt: skip

    def end_call(self, call_id: int, event: ev.Event | None) -> None:
        self.open.pop(call_id)
        if event is not None:
            self.front.feed(event)

    def check_new_effects(self) -> None:
        """Check the effects that the front has returned since the last check."""
        new, self.seen = self.front.effects[self.seen :], len(self.front.effects)
        for effect in new:
            if isinstance(effect, fx.ReadRequestBody):
                self.streamed[effect.request_id] = b""
            elif isinstance(effect, fx.HttpCall):
                self.check_call(effect)
            elif isinstance(effect, fx.CancelHttpCall):
                self.may_have_run.add(effect.call_id)
                self.open.pop(effect.call_id, None)
            elif isinstance(effect, fx.HttpStreamStart):
                assert effect.request_id not in self.finals
            elif isinstance(effect, fx.HttpStreamChunk):
                self.streamed[effect.request_id] += effect.data
                self.streamed_pieces(effect.request_id)
            elif isinstance(effect, FINAL):
                assert effect.request_id not in self.finals, "two final answers"
                self.finals[effect.request_id] = effect
                self.check_final(effect)

    def check_call(self, call: fx.HttpCall) -> None:
        replica = self.front.replica_of(call)
        assert replica not in self.forbidden, "sent where nothing new may go"
        if call.headers["x-rooklug-route"] == "home":
            assert ZONES[replica][1] == "north", "carried outside its home"
        request_id = call.headers["x-rooklug-request-id"]
        assert not self.streamed.get(int(request_id[1:])), "tried again after the first byte"
        self.calls_of.setdefault(request_id, []).append(call.call_id)
        self.open[call.call_id] = 0
        self.scripts[call.call_id] = []

    def check_final(self, answer: fx.Effect) -> None:
        calls = self.calls_of.get(f"r{answer.request_id}", [])
        scripts = [self.scripts[call_id] for call_id in calls]
        if isinstance(answer, fx.HttpStreamEnd):
            assert b'"end"' in self.streamed[answer.request_id], "no end line"
            assert self.streamed_pieces(answer.request_id) in scripts, "a false end"
        elif isinstance(answer, fx.HttpRespond) and answer.status == 200:
            assert json.loads(answer.body)["text"] in ["".join(s) for s in scripts], "wrong text"
        elif isinstance(answer, fx.HttpRespond):
            certain = json.loads(answer.body)["outcome"] == "not_run"
            assert not (certain and self.may_have_run & set(calls)), "'not run' may have run"
            assert answer.status == 307 or int(answer.headers["Retry-After"]) >= 1

    def streamed_pieces(self, http_id: int) -> list[str]:
        """Return the pieces sent to a caller; they must be a prefix of one replica's answer."""
        lines = [json.loads(line) for line in self.streamed[http_id].split(b"\n") if line]
        pieces = [line["piece"] for line in lines if "piece" in line]
        scripts = [self.scripts[call_id] for call_id in self.calls_of[f"r{http_id}"]]
        assert any(pieces == script[: len(pieces)] for script in scripts), "spliced"
        return pieces

    def check_settled(self) -> None:
        """Check that every request has a final answer and that nothing is counted as running."""
        generate = self.front.by_name["generate"]
        assert set(self.streamed) <= set(self.finals), "no final answer"
        assert generate.active_requests() == 0
        balancer = generate._decision._balancer
        assert all(state.in_flight == 0 for _, state in balancer.states.items()), "leaked slots"
        assert not any(balancer._spilled.values())


def run_worlds(seeds: range) -> None:
    for seed in seeds:
        World(seed).run(150)


class InvariantsTest(unittest.TestCase):
    def test_invariants_hold_under_random_events(self) -> None:
        run_worlds(range(40))


def report_not_run(self, request, outcome, reason, now, *, may_have_run, cancel=False):
    return ORIGINAL_FAIL(self, request, outcome, reason, now, may_have_run=False, cancel=cancel)


def accept_line(self, line, texts):
    document = json.loads(line)
    if "end" in document:
        self._end_line = line + b"\n"
    else:
        texts.append(document["piece"])
    return ""


ORIGINAL_FAIL = AttemptRunner._fail
ORIGINAL_PROGRESS = SlowStartTracker._next_progress
# (guard, its class or module, its name, the replacement, the test that must fail or None for the
# random events)
MUTATIONS = [
    ("stream check", StreamChecker, "_check", accept_line, None),
    ("not run is certain", AttemptRunner, "_fail", report_not_run, None),
    ("no retry after a byte", ActiveRequest, "answer_started", property(lambda s: False,
     lambda s, value: None), None),
    ("plan's intention", view_building, "_serving_by_model",
     lambda listed, plan, region_of: {"talk": tuple(
         view_building._serving_replica(one, reported, region_of(one.zone, one.region))
         for one in listed for reported in (plan.replicas if plan else ())
         if reported.replica_id == one.replica_id)}, None),
    ("home of the matrix", RoutingView, "destinations",
     lambda self, route, source: self._unplanned(source, ()), None),
    ("slots given back", Decision, "record_end", lambda self, report, now: None, None),
    ("leaving the queue", WaitQueue, "remove", lambda self, http_id: True, None),
    ("home from the head", RoutingView, "serves_home", lambda self, route: True,
     path.HomeTest("test_redirected_before_the_body_is_read")),
    ("slow start", SlowStartTracker, "replica_share", lambda *arguments: 1.0,
     balancing.SlowStartTest("test_replica_in_slow_start_gets_growing_share")),
    ("ramp by incarnation", SlowStartTracker, "_next_progress",
     lambda self, known, replica, now, **options:
     known or ORIGINAL_PROGRESS(self, known, replica, now, **options),
     balancing.SlowStartTest("test_second_loss_restarts_slow_start")),
    ("region ramp", SlowStartTracker, "region_share", lambda *arguments: 1.0,
     balancing.SlowStartTest("test_returning_region_gets_slow_start_share")),
    ("absolute cold measure", SlowStartAdmission, "has_capacity_token", lambda *arguments: True,
     balancing.SlowStartTest("test_fleet_entirely_in_slow_start_ramps_up")),
    ("relative cold measure", SlowStartAdmission, "has_earned", lambda *arguments: True,
     balancing.SlowStartTest("test_high_concurrency_does_not_raise_slow_start_share")),
    ("ejection", ReplicaHealth, "record_failure", lambda *arguments: False,
     balancing.RetryTest("test_connect_failure_retries_elsewhere_and_ejects")),
    ("keep trying", Balancer, "_usable", lambda self, replicas, model, now: [
        r for r in replicas if not self.states[r].health.is_ejected(now)],
     balancing.RetryTest("test_requests_continue_when_all_replicas_are_ejected")),
    ("retry budget", RetryBudget, "try_spend", lambda self, now: True,
     balancing.RetryTest("test_budget_limits_retry_storm")),
    ("spill bound", Balancer, "_spill_allowed", lambda *arguments: True,
     balancing.MatrixTest("test_spill_is_limited_by_spill_weight")),
    ("bounded affinity", Balancer, "_choose_at_full_share", lambda self, placement, replicas:
     self._ordered(placement, replicas)[0],
     balancing.AffinityTest("test_popular_prefix_stays_within_bounded_share")),
    ("table's home", AffinityTable, "apply_view", lambda self, view: None,
     balancing.AffinityTest("test_blocks_of_bound_route_are_dropped_when_home_moves")),
    ("stalls", AttemptRunner, "fail_if_stalled", lambda *arguments: None,
     balancing.RetryTest("test_attempt_without_first_chunk_times_out")),
    ("wait bound", WaitQueue, "take_expired", lambda *arguments: [],
     balancing.QueueTest("test_refused_after_maximum_wait_and_when_full")),
]  # fmt: skip


class MutationTest(unittest.TestCase):
    def is_detected(self, test: unittest.TestCase | None) -> bool:
        if test is not None:
            result = unittest.TestResult()
            test.run(result)
            return not result.wasSuccessful()
        try:
            run_worlds(range(40))
        except (AssertionError, KeyError, IndexError):
            return True
        return False

    def test_each_disabled_guard_is_detected(self) -> None:
        undetected = []
        for name, owner, attribute, replacement, test in MUTATIONS:
            with mock.patch.object(owner, attribute, replacement):
                if not self.is_detected(test):
                    undetected.append(name)
        self.assertEqual(undetected, [])
