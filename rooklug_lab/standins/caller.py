"""Callers: model requests (whole and streamed) and once-only requests."""

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug_lab.standins.answers import check_once_answer, check_whole_answer
from rooklug_lab.standins.caller_base import DEADLINE_SLACK_S, Caller
from rooklug_lab.standins.destinations import CONNECT_DEADLINE_S
from rooklug_lab.standins.flights import Flight
from rooklug_lab.standins.http import json_bytes
from rooklug_lab.standins.operator import Operator
from rooklug_lab.standins.records import CallerRequest, Outcome
from rooklug_lab.standins.settings import RouteLoad

__all__ = ["ModelCaller", "OnceCaller", "Operator"]

MODEL_LOAD = "model"
ONCE_LOAD = "once"


class ModelCaller(Caller):
    """Makes model requests. A request that failed, even midway, is made anew as a whole."""

    name = "model-caller"

    def make_request(self, load: RouteLoad, now: float) -> Flight:
        """Make the next request, with prompt parts shared by its conversation."""
        number = len(self.journal.requests) + 1
        random = self.context.random
        group = random.randrange(max(1, load.part_groups))
        size = random.uniform(0.5, 1.5)
        body = {
            "prompt_tokens": max(1, int(load.prompt_tokens * size)),
            "max_tokens": max(1, int(load.max_tokens * random.uniform(0.5, 1.5))),
            "prompt_parts": [f"{load.route}/system", f"{load.route}/conversation-{group}"],
            "prompt": f"question {number}",
            "stream": random.random() < load.stream_share,
        }
        record = _record(self, load, number, now)
        return Flight(number, record, load, body, body["stream"])

    def http_call(self, flight: Flight, call_id: int, left_s: float) -> fx.HttpCall:
        """Return the call of ``POST /v1/generate``."""
        return fx.HttpCall(
            call_id,
            flight.attempt.front_address,
            "POST",
            "/v1/generate",
            json_bytes(flight.body),
            left_s + DEADLINE_SLACK_S,
            self.headers(flight, left_s),
            streaming=flight.stream,
            connect_deadline_s=CONNECT_DEADLINE_S,
        )

    def judge(self, flight: Flight, answer: ev.HttpAnswered, now: float) -> list[fx.Effect]:
        """Check a whole answer."""
        problems, run = check_whole_answer(answer.body, flight.attempt.request_id)
        return self.done(flight, problems, run, now)

    def may_retry(self, flight: Flight, outcome: Outcome) -> bool:
        """Model requests may run twice; each attempt is a request of its own."""
        return True


class OnceCaller(Caller):
    """Makes once-only requests. Every repeat carries the same key."""

    name = "once-caller"

    def make_request(self, load: RouteLoad, now: float) -> Flight:
        """Make the next request under a new key."""
        number = len(self.journal.requests) + 1
        record = _record(self, load, number, now)
        record.key = f"key-{record.request_id}"
        return Flight(number, record, load, {"payload": number}, stream=False)

    def http_call(self, flight: Flight, call_id: int, left_s: float) -> fx.HttpCall:
        """Return the call of ``POST /v1/once``."""
        headers = {**self.headers(flight, left_s), "x-rooklug-key": flight.record.key}
        return fx.HttpCall(
            call_id,
            flight.attempt.front_address,
            "POST",
            "/v1/once",
            json_bytes(flight.body),
            left_s + DEADLINE_SLACK_S,
            headers,
            connect_deadline_s=CONNECT_DEADLINE_S,
        )

    def judge(self, flight: Flight, answer: ev.HttpAnswered, now: float) -> list[fx.Effect]:
        """Check a whole answer."""
        problems, decoded = check_once_answer(answer.body, flight.record.key)
        flight.record.repeated = bool(decoded.get("repeated"))
        result = decoded.get("result")
        run = f"{result.get('backend_id')}/{result.get('number')}" if not problems else ""
        return self.done(flight, problems, run, now)

    def may_retry(self, flight: Flight, outcome: Outcome) -> bool:
        """Repeat under the same key: the system must not run it again."""
        return True


def _record(caller: Caller, load: RouteLoad, number: int, now: float) -> CallerRequest:
    return CallerRequest(
        request_id=f"{caller.settings.caller_id}-{number}",
        route=load.route,
        region=caller.settings.region,
        kind=load.kind,
        started_s=now,
        deadline_s=load.deadline_s,
    )
