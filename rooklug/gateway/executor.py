"""Carries requests to replicas and answers back; obeys the decision object.

What the client is told: a replica's answer unchanged; 503 with ``Retry-After`` only when no
replica has run the request or will; 504 at the end of its time; 502 when a replica may have
run it and no answer came. An answer that has begun and breaks off ends without its final chunk.
"""

from collections.abc import Iterable

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent
from rooklug.engine.reducer import Identifiers, MetricSample
from rooklug.front.outcomes import AttemptOutcome
from rooklug.gateway.answers import GatewayError
from rooklug.gateway.client_answers import LEAST_RETRY_AFTER_S, ClientAnswers
from rooklug.gateway.decision import Decision, Refuse
from rooklug.gateway.dialect import HeaderNames
from rooklug.gateway.document import Route
from rooklug.gateway.event_stream import complete_length, last_event_id
from rooklug.gateway.gateway_events import RequestCounted, ViewChanged
from rooklug.gateway.passage import Passage, Stage
from rooklug.gateway.replica_call import (
    REPLACED_STATUS,
    is_answer_to,
    is_not_executed,
    replica_call,
)
from rooklug.gateway.requests import PassedRequest, read_request
from rooklug.gateway.retry_budget import RetryBudgets, RetryBudgetSettings

LISTENER = "clients"
LEAST_TIME_TO_SEND_S = 0.01
MAX_UNSENT_TRIES = 4
# When everything starts together, a front knows the configuration after this time; measured at
# 1.2 s with 91 machines. Clients come back once, so rather later than too early, and not at once.
USUAL_START_S = 1.6
START_SPREAD_S = 0.6
RETRY_AFTER_FULL_S = 0.5
# A front that ends takes new requests for so long, and later ones only if they fit.
TAKEN_WHILE_ENDING_S = 2.8
END_RESERVE_S = 0.8
WATCH_S = 0.25
# A resumable stream that says nothing for so long goes on at another replica.
STALLED_S = 1.0
_WATCH_TIMER = "watch"
# A failure is held until it is whole; a longer body is no failure's body.
MAX_FAILURE_BYTES = 1024 * 1024


@attrs.define
class GatewayFigures:
    """Counters since the start of the process."""

    arrived: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    repeated: int = 0
    broken: int = 0


class GatewayExecutor(BaseComponent):
    """Serves the clients' listener."""

    name = "gateway"
    http_listeners = (LISTENER,)
    subscribes_to = (ViewChanged,)

    def __init__(
        self,
        decision: Decision,
        names: HeaderNames,
        identifiers: Identifiers,
        budget: RetryBudgetSettings,
        grace_s: float = 8.0,
    ) -> None:
        self._decision = decision
        self._names = names
        self._answers = ClientAnswers(names)
        self._identifiers = identifiers
        self._budgets = RetryBudgets(budget)
        self._by_http: dict[int, Passage] = {}
        self._by_call: dict[int, Passage] = {}
        self._grace_s = grace_s
        self._started_at = 0.0
        self._ending_since: float | None = None
        self._watching = False
        self.figures = GatewayFigures()

    @property
    def decision(self) -> Decision:
        """The decision object that it asks."""
        return self._decision

    def active(self) -> int:
        """Return how many requests are under way."""
        return len(self._by_http)

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        match event:
            case ev.HttpRequestArrived():
                return self._arrived(event, now)
            case ev.HttpBodyChunk():
                return self._piece(event, now)
            case ev.HttpResponseStarted():
                return self._started(event, now)
            case ev.HttpAnswered():
                return self._answered(event, now)
            case ev.HttpResponseCompleted():
                return self._ended(event, now)
            case ev.HttpFailed():
                return self._failed(event, now)
            case ev.HttpRequestClosed():
                return self._client_left(event, now)
            case ev.TimerFired():
                return self._watch(now)
            case ev.Started():
                self._started_at = now
            case ev.StopRequested():
                self._ending_since = now
                self._answers.is_ending = True
            case ViewChanged():
                self._decision.take_view(event.view)
        return []

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the counters."""
        return [
            MetricSample(f"gateway_requests_{name}_total", float(value), "counter", name)
            for name, value in attrs.asdict(self.figures).items()
        ] + [MetricSample("gateway_requests_active", float(self.active()), "gauge", "under way")]

    # Arrival --------------------------------------------------------------

    def _arrived(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        self.figures.arrived += 1
        request = read_request(event, self._names)
        configuration = self._decision.view.configuration
        if configuration is None or not self._decision.view.is_listed:
            ready_at = self._started_at + USUAL_START_S + START_SPREAD_S * request.draw
            wait_s = ready_at - now
            return self._refuse(request, GatewayError.NOT_READY, wait_s)
        route = configuration.find(request.host, request.path)
        if route is None:
            return self._refuse(request, GatewayError.NO_ROUTE)
        passage = self._passage(request, route, now)
        if not self._may_take(passage, now):
            return self._refuse(request, GatewayError.ENDING, LEAST_RETRY_AFTER_S)
        self._by_http[request.http_id] = passage
        self._budgets.of(passage.service.name).count_request(now)
        return [
            EmitEvent(RequestCounted(request, passage.service.name, route.name)),
            *self._send(passage, now),
            *self._start_watch(),
        ]

    def _may_take(self, passage: Passage, now: float) -> bool:
        """Tell whether a request can be finished before this process ends."""
        if self._ending_since is None or now <= self._ending_since + TAKEN_WHILE_ENDING_S:
            return True
        return passage.ends_at <= self._ending_since + self._grace_s - END_RESERVE_S

    def _passage(self, request: PassedRequest, route: Route, now: float) -> Passage:
        patience_s = route.timeout_s
        if request.deadline_s is not None:
            patience_s = min(patience_s, request.deadline_s)
        service = self._decision.service_for(request, route)
        return Passage(request, route, service, now, now + patience_s)

    def _may_repeat(self, passage: Passage, now: float) -> bool:
        """Tell whether this front's part of the retry budget allows one more repeat."""
        fronts = len(self._decision.view.ready_fronts)
        return self._budgets.of(passage.service.name).may_repeat(fronts, now)

    # To the replica -------------------------------------------------------

    def _send(self, passage: Passage, now: float) -> list[fx.Effect]:
        if passage.left_s(now) < LEAST_TIME_TO_SEND_S:
            return self._give_up(passage, now)
        verdict = self._decision.ask(
            passage.request, passage.route, passage.service, frozenset(passage.tried), now
        )
        if isinstance(verdict, Refuse):
            return self._give_up(passage, now, verdict.retry_after_s)
        replica = verdict.replica
        if passage.arrivals:
            self._budgets.of(passage.service.name).count_repeat(now)
            self.figures.repeated += 1
        passage.replica = replica
        passage.tried.add(replica.replica_id)
        passage.sends += 1
        passage.arrivals += 1
        passage.call_id = self._identifiers.next()
        self._by_call[passage.call_id] = passage
        self._decision.sent(passage.call_id, passage.request, replica, passage.service, now)
        return [replica_call(passage, self._names, now)]

    # From the replica -----------------------------------------------------

    def _answered(self, event: ev.HttpAnswered, now: float) -> list[fx.Effect]:
        passage = self._by_call.pop(event.call_id, None)
        if passage is None:
            return []
        return self._whole_answer(passage, event.status, event.headers, event.body, now)

    def _whole_answer(
        self, passage: Passage, status: int, headers: dict[str, str], body: bytes, now: float
    ) -> list[fx.Effect]:
        if is_not_executed(status, headers, self._names):
            self._ended_at_replica(passage, None, now)
            return self._not_executed(passage, status, headers, body, now)
        if not is_answer_to(passage, headers, self._names):
            self._ended_at_replica(passage, AttemptOutcome.BROKEN, now)
            passage.may_have_run = True
            return self._try_again(passage, now)
        outcome = AttemptOutcome.SUCCESS if status < 500 else AttemptOutcome.BROKEN
        self._ended_at_replica(passage, outcome, now)
        return self._respond(passage, status, headers, body)

    def _not_executed(
        self, passage: Passage, status: int, headers: dict[str, str], body: bytes, now: float
    ) -> list[fx.Effect]:
        if status == 400:
            return self._respond(passage, status, headers, body)
        if status == REPLACED_STATUS:  # the address is another replica's by now
            passage.sends -= 1
            self._decision.denied(passage.replica)
        return self._try_again(passage, now)

    def _started(self, event: ev.HttpResponseStarted, now: float) -> list[fx.Effect]:
        passage = self._by_call.get(event.call_id)
        if passage is None:
            return []
        self._decision.heard(event.call_id, passage.replica, now)
        passage.heard_at = now
        passage.status = event.status
        passage.headers = event.headers
        passage.failure_body = []
        if not 200 <= event.status < 300:
            return []
        if not is_answer_to(passage, event.headers, self._names):
            self._by_call.pop(event.call_id)
            self._ended_at_replica(passage, AttemptOutcome.BROKEN, now)
            passage.may_have_run = True
            return [fx.CancelHttpCall(event.call_id), *self._try_again(passage, now)]
        if passage.stage is Stage.STREAMING:
            return []  # it goes on under the head of its first replica
        passage.stage = Stage.STREAMING
        headers = self._answers.headers(event.headers)
        return [fx.HttpStreamStart(passage.request.http_id, event.status, headers)]

    def _piece(self, event: ev.HttpBodyChunk, now: float) -> list[fx.Effect]:
        passage = self._by_call.get(event.call_id)
        if passage is None:
            return []
        if not 200 <= passage.status < 300:
            return self._failure_piece(passage, event, now)
        self._decision.heard(event.call_id, passage.replica, now)
        passage.heard_at = now
        data = passage.tail + event.data
        whole = complete_length(data)
        passage.tail = data[whole:]
        if not whole:
            return []
        passage.last_event_id = last_event_id(data[:whole]) or passage.last_event_id
        return [fx.HttpStreamChunk(passage.request.http_id, data[:whole])]

    def _failure_piece(
        self, passage: Passage, event: ev.HttpBodyChunk, now: float
    ) -> list[fx.Effect]:
        passage.failure_body.append(event.data)
        if sum(len(piece) for piece in passage.failure_body) <= MAX_FAILURE_BYTES:
            return []
        self._by_call.pop(event.call_id)
        self._ended_at_replica(passage, AttemptOutcome.BROKEN, now)
        return [fx.CancelHttpCall(event.call_id), *self._stream_broke(passage, now)]

    def _ended(self, event: ev.HttpResponseCompleted, now: float) -> list[fx.Effect]:
        passage = self._by_call.pop(event.call_id, None)
        if passage is None:
            return []
        if not 200 <= passage.status < 300:
            body = b"".join(passage.failure_body)
            return self._whole_answer(passage, passage.status, passage.headers, body, now)
        if passage.tail:  # the end came within an event
            self._ended_at_replica(passage, AttemptOutcome.BROKEN, now)
            return self._stream_broke(passage, now)
        self._ended_at_replica(passage, AttemptOutcome.SUCCESS, now)
        self._forget(passage)
        self.figures.answered += 1
        return [fx.HttpStreamEnd(passage.request.http_id)]

    def _failed(self, event: ev.HttpFailed, now: float) -> list[fx.Effect]:
        passage = self._by_call.pop(event.call_id, None)
        if passage is None:
            return []
        if event.send_state is ev.SendState.NOT_SENT:
            self._ended_at_replica(passage, AttemptOutcome.CONNECT_FAILED, now)
            passage.sends -= 1  # it reached no replica
            passage.arrivals -= 1
            if len(passage.tried) >= MAX_UNSENT_TRIES:
                return self._give_up(passage, now, RETRY_AFTER_FULL_S)
            if passage.arrivals:
                return self._try_again(passage, now)
            return self._send(passage, now)
        timed_out = passage.left_s(now) <= LEAST_TIME_TO_SEND_S
        unanswered = event.send_state is ev.SendState.MAYBE_SENT
        outcome = AttemptOutcome.RESET if unanswered else AttemptOutcome.BROKEN
        if timed_out:
            outcome = AttemptOutcome.TIMED_OUT
        self._ended_at_replica(passage, outcome, now)
        passage.may_have_run = True
        if passage.stage is Stage.STREAMING:
            return self._stream_broke(passage, now)
        return self._try_again(passage, now)

    def _stream_broke(self, passage: Passage, now: float) -> list[fx.Effect]:
        """Go on at another replica if the route allows it, else end visibly broken."""
        passage.tail = b""
        passage.may_have_run = True
        return self._try_again(passage, now)

    def _break_off(self, passage: Passage) -> list[fx.Effect]:
        self.figures.broken += 1
        self._forget(passage)
        return [fx.HttpStreamAbort(passage.request.http_id)]

    def _try_again(self, passage: Passage, now: float) -> list[fx.Effect]:
        if passage.may_send_again() and self._may_repeat(passage, now):
            return self._send(passage, now)
        return self._give_up(passage, now, RETRY_AFTER_FULL_S)

    def _client_left(self, event: ev.HttpRequestClosed, now: float) -> list[fx.Effect]:
        passage = self._by_http.pop(event.request_id, None)
        if passage is None or self._by_call.pop(passage.call_id, None) is None:
            return []
        self._ended_at_replica(passage, None, now)
        return [fx.CancelHttpCall(passage.call_id)]

    # Silence --------------------------------------------------------------

    def _start_watch(self) -> list[fx.Effect]:
        if self._watching:
            return []
        self._watching = True
        return [fx.StartTimer(_WATCH_TIMER, WATCH_S)]

    def _watch(self, now: float) -> list[fx.Effect]:
        """Move repeatable requests away from replicas that say nothing."""
        self._watching = False
        effects = [
            effect
            for passage in list(self._by_call.values())
            if self._is_stalled(passage, now)
            for effect in self._move(passage, now)
        ]
        return effects + (self._start_watch() if self._by_http else [])

    def _is_stalled(self, passage: Passage, now: float) -> bool:
        if not passage.route.is_repeatable or passage.sends >= passage.route.max_replicas:
            return False
        if passage.stage is Stage.STREAMING:
            return now - passage.heard_at > STALLED_S
        return self._decision.is_silent(passage.replica, now)

    def _move(self, passage: Passage, now: float) -> list[fx.Effect]:
        if not self._may_repeat(passage, now):
            return []
        call_id = passage.call_id
        self._by_call.pop(call_id, None)
        self._ended_at_replica(passage, AttemptOutcome.TIMED_OUT, now)
        return [fx.CancelHttpCall(call_id), *self._stream_broke(passage, now)]

    # To the client --------------------------------------------------------

    def _respond(
        self, passage: Passage, status: int, headers: dict[str, str], body: bytes
    ) -> list[fx.Effect]:
        if passage.stage is Stage.STREAMING:
            return self._break_off(passage)
        self._forget(passage)
        self.figures.answered += 1
        headers = self._answers.headers(headers)
        return [fx.HttpRespond(passage.request.http_id, status, body, headers)]

    def _give_up(self, passage: Passage, now: float, retry_after_s: float = 0.0) -> list[fx.Effect]:
        """Give the final answer at once."""
        if passage.stage is Stage.STREAMING:
            return self._break_off(passage)
        self._forget(passage)
        if passage.left_s(now) <= LEAST_TIME_TO_SEND_S:
            return self._refuse(passage.request, GatewayError.TIMED_OUT)
        if passage.may_have_run:
            return self._refuse(passage.request, GatewayError.MAY_HAVE_RUN)
        return self._refuse(passage.request, GatewayError.NOT_RUN, retry_after_s)

    def _refuse(
        self, request: PassedRequest, error: GatewayError, retry_after_s: float = 0.0
    ) -> list[fx.Effect]:
        if error in (GatewayError.TIMED_OUT, GatewayError.MAY_HAVE_RUN):
            self.figures.failed += 1
        else:
            self.figures.refused += 1
        return [self._answers.refusal(request, error, retry_after_s)]

    def _ended_at_replica(
        self, passage: Passage, outcome: AttemptOutcome | None, now: float
    ) -> None:
        self._decision.ended(passage.call_id, passage.replica, outcome, now)

    def _forget(self, passage: Passage) -> None:
        self._by_http.pop(passage.request.http_id, None)
        self._by_call.pop(passage.call_id, None)
