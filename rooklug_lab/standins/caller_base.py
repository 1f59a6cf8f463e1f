"""What all callers do: open-loop arrivals, asking where to go, redirects, allowed retries.

Each attempt has a request id of its own, so that the oracles can tell attempts apart.
"""

import math

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import ProcessContext
from rooklug_lab.standins.destinations import Destinations
from rooklug_lab.standins.flights import Flight, StreamedResponse
from rooklug_lab.standins.http import JSON_HEADERS, json_object, respond, respond_error
from rooklug_lab.standins.journals import journal_body
from rooklug_lab.standins.records import CallerJournal, Outcome
from rooklug_lab.standins.settings import CallerSettings, RouteLoad

DEADLINE_SLACK_S = 1.0
FAILURE_PAUSE_S = 0.2
REDIRECT_LIMIT = 3
WHERE_LIMIT = 40
_ARRIVE = "arrive/"
_AGAIN = "again/"
_STOP = "stop"


class Caller(BaseComponent):
    """Base of callers; subclasses make requests and judge answers."""

    name = "caller"
    http_prefixes = ("/lab/",)

    def __init__(
        self,
        settings: CallerSettings,
        context: ProcessContext,
        journal: CallerJournal | None = None,
    ) -> None:
        self.settings = settings
        self.context = context
        self.journal = journal or CallerJournal(settings.caller_id)
        self.rate_factor = 1.0
        self._arriving = False
        self._flights: dict[int, Flight] = {}
        self._where_calls: dict[int, Flight] = {}
        self._calls: dict[int, Flight] = {}
        self._destinations = Destinations(settings.region)

    # -- to be made by subclasses -------------------------------------------------

    def make_request(self, load: RouteLoad, now: float) -> Flight:
        """Make the next request of a load."""
        raise NotImplementedError

    def http_call(self, flight: Flight, call_id: int, left_s: float) -> fx.HttpCall:
        """Return the call of the flight's current attempt."""
        raise NotImplementedError

    def judge(self, flight: Flight, answer: ev.HttpAnswered, now: float) -> list[fx.Effect]:
        """Take a 200 answer that came whole."""
        raise NotImplementedError

    def may_retry(self, flight: Flight, outcome: Outcome) -> bool:
        """Return whether a further attempt is allowed after one with this outcome."""
        raise NotImplementedError

    # -- events -------------------------------------------------------------------

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        if isinstance(event, ev.Started):
            return self._begin()
        if isinstance(event, ev.TimerFired):
            return self._timer(event.name, now)
        if isinstance(event, ev.HttpRequestArrived):
            return self._lab(event)
        if isinstance(event, ev.StopRequested):
            return [fx.StopProcess(0, "asked to stop")]
        return self._call_event(event, now)

    def _call_event(self, event: ev.Event, now: float) -> list[fx.Effect]:
        call_id = getattr(event, "call_id", None)
        if call_id in self._where_calls:
            return self._where_ended(event, now)
        flight = self._calls.get(call_id)
        if flight is None or flight.attempt is None:
            return []
        if isinstance(event, ev.HttpAnswered):
            del self._calls[call_id]
            return self._answered(flight, event, now)
        if isinstance(event, ev.HttpFailed):
            del self._calls[call_id]
            return self._failed(flight, event, now)
        return self._stream_event(flight, event, now)

    def _begin(self) -> list[fx.Effect]:
        self._arriving = True
        effects: list[fx.Effect] = []
        if self.settings.duration_s > 0:
            end_s = self.settings.start_s + self.settings.duration_s
            effects.append(fx.StartTimer(_STOP, end_s))
        return effects + [
            self._next_arrival(index, self.settings.start_s)
            for index in range(len(self.settings.loads))
        ]

    def _next_arrival(self, index: int, after_s: float = 0.0) -> fx.StartTimer:
        rate = self.settings.loads[index].rate_per_s * self.rate_factor
        wait = self.context.random.expovariate(rate) if rate > 0 else 1.0
        return fx.StartTimer(_ARRIVE + str(index), after_s + wait)

    def _timer(self, name: str, now: float) -> list[fx.Effect]:
        if name == _STOP:
            self._arriving = False
            return []
        if name.startswith(_ARRIVE):
            return self._arrive(int(name.removeprefix(_ARRIVE)), now)
        flight = self._flights.get(int(name.removeprefix(_AGAIN)))
        return self._go(flight, now) if flight is not None else []

    def _arrive(self, index: int, now: float) -> list[fx.Effect]:
        if not self._arriving:
            return []
        again = self._next_arrival(index)
        if self.rate_factor <= 0:
            return [again]
        flight = self.make_request(self.settings.loads[index], now)
        self.journal.requests.append(flight.record)
        self._flights[flight.number] = flight
        return [again, *self._go(flight, now)]

    # -- where to go --------------------------------------------------------------

    def _go(self, flight: Flight, now: float) -> list[fx.Effect]:
        if flight.left_s(now) <= 0:
            return self._finish(flight, flight.worst_outcome(), now)
        address = self._destinations.address(flight, now)
        if address:
            return self._attempt(flight, address, now)
        if flight.where_calls >= WHERE_LIMIT:
            return self._finish(flight, flight.worst_outcome(), now)
        return [self._ask_where(flight)]

    def _ask_where(self, flight: Flight) -> fx.HttpCall:
        flight.where_calls += 1
        fresh = [name for name in self.settings.front_addresses if name not in flight.tried]
        front_address = self.context.random.choice(fresh or list(self.settings.front_addresses))
        call_id = self.context.identifiers.next()
        self._where_calls[call_id] = flight
        return self._destinations.question(flight, call_id, front_address)

    def _where_ended(self, event: ev.Event, now: float) -> list[fx.Effect]:
        flight = self._where_calls.pop(event.call_id)
        address = self._destinations.take(flight, event, now)
        if not address:
            return [self._again(flight, self._pause_s(event))]
        return self._attempt(flight, address, now)

    def _pause_s(self, event: ev.Event) -> float:
        if isinstance(event, ev.HttpAnswered):
            return self._retry_after_s(event)
        return FAILURE_PAUSE_S * (1 + self.context.random.random())

    def _retry_after_s(self, answer: ev.HttpAnswered) -> float:
        text = answer.headers.get("retry-after", "1")
        seconds = float(text) if text.isdigit() else 1.0
        return seconds * (1 + 0.2 * self.context.random.random())

    def _again(self, flight: Flight, wait_s: float) -> fx.StartTimer:
        return fx.StartTimer(_AGAIN + str(flight.number), wait_s)

    # -- attempts -----------------------------------------------------------------

    def _attempt(self, flight: Flight, address: str, now: float) -> list[fx.Effect]:
        flight.begin_attempt(address, now)
        return [self._send(flight, now)]

    def _send(self, flight: Flight, now: float) -> fx.HttpCall:
        call_id = self.context.identifiers.next()
        self._calls[call_id] = flight
        flight.response = StreamedResponse()
        return self.http_call(flight, call_id, max(0.001, flight.left_s(now)))

    def headers(self, flight: Flight, left_s: float) -> dict[str, str]:
        """Return the headers that every request has."""
        return {
            **JSON_HEADERS,
            "x-rooklug-route": flight.load.route,
            "x-rooklug-request-id": flight.attempt.request_id,
            "x-rooklug-deadline-ms": str(math.ceil(left_s * 1000)),
            "x-rooklug-region": self.settings.region,
        }

    def _answered(self, flight: Flight, answer: ev.HttpAnswered, now: float) -> list[fx.Effect]:
        flight.attempt.status = answer.status
        if answer.status == 307:
            return self._redirected(flight, answer, now)
        if answer.status == 200:
            flight.attempt.first_byte_s = now
            return self.judge(flight, answer, now)
        return self.refused(flight, answer.status, answer.body, self._retry_after_s(answer), now)

    def _redirected(self, flight: Flight, answer: ev.HttpAnswered, now: float) -> list[fx.Effect]:
        target = answer.headers.get("location", "").removeprefix("http://").partition("/")[0]
        flight.redirects += 1
        if not target or flight.redirects > REDIRECT_LIMIT:
            return self.end_attempt(flight, Outcome.NOT_RUN, now, "too many redirects", 1.0)
        flight.attempt.front_address = target
        return [self._send(flight, now)]

    def refused(
        self, flight: Flight, status: int, body: bytes, retry_after_s: float, now: float
    ) -> list[fx.Effect]:
        """Take an answer that isn't 200; ``retry_after_s`` is how long to wait."""
        answer = json_object(body) or {}
        error = answer.get("error")
        code = str(error.get("code", "")) if isinstance(error, dict) else ""
        if status == 503 and answer.get("outcome") == "not_run":
            return self.end_attempt(flight, Outcome.NOT_RUN, now, code, retry_after_s)
        if status == 504:
            return self.end_attempt(flight, Outcome.UNKNOWN, now, code, FAILURE_PAUSE_S)
        return self.end_attempt(flight, Outcome.FAILED, now, f"{status} {code}", retry_after_s)

    def _failed(self, flight: Flight, event: ev.HttpFailed, now: float) -> list[fx.Effect]:
        flight.tried.append(flight.attempt.front_address)
        self._destinations.forget(flight)
        outcome = {
            ev.SendState.NOT_SENT: Outcome.FAILED,
            ev.SendState.MAYBE_SENT: Outcome.UNKNOWN,
            ev.SendState.RESPONDING: Outcome.BROKEN,
        }[event.send_state]
        self._note_stream(flight)
        pause_s = FAILURE_PAUSE_S * self.context.random.random()
        return self.end_attempt(flight, outcome, now, event.reason, pause_s)

    def end_attempt(
        self, flight: Flight, outcome: Outcome, now: float, detail: str, pause_s: float
    ) -> list[fx.Effect]:
        """End the current attempt; try again if that is allowed, else end the request."""
        attempt = flight.attempt
        attempt.ended_s = now
        attempt.outcome = outcome
        attempt.detail = detail
        attempts = len(flight.record.attempts)
        in_time = flight.left_s(now) > pause_s
        if attempts < self.settings.attempts_limit and in_time and self.may_retry(flight, outcome):
            return [self._again(flight, pause_s)]
        return self._finish(flight, outcome, now)

    def done(self, flight: Flight, problems: list[str], run: str, now: float) -> list[fx.Effect]:
        """End the request with a complete answer, right or (with ``problems``) wrong."""
        flight.attempt.ended_s = now
        flight.attempt.outcome = Outcome.WRONG if problems else Outcome.DONE
        flight.record.problems += problems
        flight.record.served_by = run
        return self._finish(flight, flight.attempt.outcome, now)

    def _finish(self, flight: Flight, outcome: Outcome, now: float) -> list[fx.Effect]:
        self._flights.pop(flight.number, None)
        record = flight.record
        record.outcome = outcome
        record.ended_s = now
        if flight.attempt is not None:
            record.first_byte_s = flight.attempt.first_byte_s
        return []

    # -- streams ------------------------------------------------------------------

    def _stream_event(self, flight: Flight, event: ev.Event, now: float) -> list[fx.Effect]:
        response = flight.response
        if isinstance(event, ev.HttpResponseStarted):
            response.status = event.status
            response.headers = event.headers
        elif isinstance(event, ev.HttpBodyChunk):
            self._stream_piece(flight, event.data, now)
        elif isinstance(event, ev.HttpResponseCompleted):
            del self._calls[event.call_id]
            return self._stream_ended(flight, event.call_id, now)
        return []

    def _stream_piece(self, flight: Flight, data: bytes, now: float) -> None:
        if flight.response.status != 200:
            flight.response.body += data
            return
        if flight.attempt.first_byte_s < 0:
            flight.attempt.first_byte_s = now
        flight.check.feed(data)

    def _stream_ended(self, flight: Flight, call_id: int, now: float) -> list[fx.Effect]:
        response = flight.response
        if response.status != 200:
            answer = ev.HttpAnswered(call_id, response.status, response.headers, response.body)
            return self._answered(flight, answer, now)
        flight.attempt.status = response.status
        flight.check.close()
        return self.done(flight, flight.check.problems, flight.check.run, now)

    def _note_stream(self, flight: Flight) -> None:
        if flight.check is not None:
            flight.record.problems += flight.check.problems

    def _lab(self, event: ev.HttpRequestArrived) -> list[fx.Effect]:
        body = json_object(event.body) or {}
        if event.path == "/lab/journal":
            return [respond(event.request_id, 200, journal_body(self.journal))]
        if event.path == "/lab/rate":
            self.rate_factor = float(body.get("factor", 1.0))
            return [respond(event.request_id, 200, {"done": True})]
        if event.path == "/lab/stop":
            self._arriving = False
            return [respond(event.request_id, 200, {"under_way": len(self._flights)})]
        return [respond_error(event.request_id, 404, "unknown_path")]
