"""The front's gateway component: serves the clients' listener.

``RequestForwarder`` sends requests and gives clients their final responses; ``ResponseHandler``
processes what replicas return. This module accepts requests, cancels those whose client has
disconnected, and moves idempotent requests away from replicas that have stopped responding.
"""

from collections.abc import Callable, Iterable
from typing import Any

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent
from rooklug.engine.reducer import Identifiers, MetricSample
from rooklug.front.outcomes import AttemptOutcome
from rooklug.gateway.answers import GatewayError, error_answer
from rooklug.gateway.client_answers import MIN_RETRY_AFTER_S
from rooklug.gateway.decision import Decision
from rooklug.gateway.document import Route
from rooklug.gateway.gateway_events import RequestCounted, ViewChanged
from rooklug.gateway.input_reader import InputReader
from rooklug.gateway.protocols import HeaderNames
from rooklug.gateway.proxied_request import ProxiedRequest, ResponseState
from rooklug.gateway.request_forwarder import GatewayCounters, RequestForwarder
from rooklug.gateway.requests import InboundRequest, read_request
from rooklug.gateway.response_handler import ResponseHandler
from rooklug.gateway.retry_budget import RetryBudgetSettings

LISTENER = "clients"
TYPICAL_START_S = 1.6
"""Seconds from process start until a front has its configuration when all machines start at once.
With 91 machines it took 1.2 s. Clients retry only once, so the margin is on the late side."""
START_SPREAD_S = 0.6
"""The retries of clients that were rejected during start-up are spread over this interval."""
ACCEPT_WHILE_DRAINING_S = 2.8
"""A draining front accepts all new requests for this long; afterwards only those whose deadline
falls within the grace period."""
DRAIN_RESERVE_S = 0.8
"""A request accepted after that must end at least this long before the process exits."""
STALL_CHECK_INTERVAL_S = 0.25
STALL_TIMEOUT_S = 1.0
"""A resumable stream that receives no data for this long is resumed on another replica."""
_STALL_CHECK_TIMER = "watch"


class GatewayExecutor(BaseComponent):
    """Dispatches the events of the clients' listener and of calls to replicas.

    ``grace_s`` is the time from ``StopRequested`` until the process exits.
    """

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
        self._forwarder = RequestForwarder(decision, names, identifiers, budget)
        self._heads: InputReader[InboundRequest | None] = InputReader(
            "client's request", lambda event: read_request(event, names), None
        )
        self._grace_s = grace_s
        self._started_at = 0.0
        self._draining_since: float | None = None
        self._is_stall_check_pending = False
        responses = ResponseHandler(self._forwarder)
        self._handlers: dict[type, Callable[[Any, float], list[fx.Effect]]] = {
            ev.HttpRequestArrived: self._on_request_arrived,
            ev.HttpAnswered: responses.on_answered,
            ev.HttpResponseStarted: responses.on_response_started,
            ev.HttpBodyChunk: responses.on_body_chunk,
            ev.HttpResponseCompleted: responses.on_response_completed,
            ev.HttpFailed: responses.on_failed,
            ev.HttpRequestClosed: self._on_client_disconnected,
            ev.TimerFired: self._on_stall_check,
            ev.Started: self._on_started,
            ev.StopRequested: self._on_stop_requested,
            ViewChanged: self._on_view_changed,
        }

    @property
    def decision(self) -> Decision:
        """Chooses the replicas; shared with the components that report load and demand."""
        return self._forwarder.decision

    @property
    def forwarder(self) -> RequestForwarder:
        """Holds the requests in flight."""
        return self._forwarder

    @property
    def counters(self) -> GatewayCounters:
        """Counters since the start of the process."""
        return self._forwarder.counters

    def active(self) -> int:
        """Return how many requests are in flight."""
        return len(self._forwarder.by_http)

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Dispatch an event to its handler; other event types are ignored."""
        handler = self._handlers.get(type(event))
        return handler(event, now) if handler else []

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the request counters and the number of requests in flight."""
        return [
            MetricSample(f"gateway_requests_{name}_total", float(value), "counter", name)
            for name, value in attrs.asdict(self.counters).items()
        ] + [
            MetricSample("gateway_requests_active", float(self.active()), "gauge", "under way"),
            *self._heads.metrics(),
        ]

    # Process lifecycle ----------------------------------------------------

    def _on_started(self, event: ev.Started, now: float) -> list[fx.Effect]:
        self._started_at = now
        return []

    def _on_stop_requested(self, event: ev.StopRequested, now: float) -> list[fx.Effect]:
        self._draining_since = now
        self._forwarder.answers.is_draining = True
        return []

    def _on_view_changed(self, event: ViewChanged, now: float) -> list[fx.Effect]:
        self.decision.apply_view(event.view)
        return []

    # Requests -------------------------------------------------------------

    def _on_request_arrived(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        self.counters.arrived += 1
        request = self._heads.read(event)
        if request is None:
            rejection = error_answer(event.request_id, GatewayError.BAD_REQUEST, {})
            return [*self._heads.take_logs(), rejection]
        configuration = self.decision.view.configuration
        if configuration is None or not self.decision.view.has_replica_list:
            ready_at = self._started_at + TYPICAL_START_S + START_SPREAD_S * request.draw
            return self._forwarder.refuse(request, GatewayError.NOT_READY, ready_at - now)
        route = configuration.find(request.host, request.path)
        if route is None:
            return self._forwarder.refuse(request, GatewayError.NO_ROUTE)
        if not request.request_id:
            # Only the id tells a replica's answer from a late one to an earlier request.
            return self._forwarder.refuse(request, GatewayError.BAD_REQUEST)
        proxied = self._proxied_request(request, route, now)
        if not self._may_accept(proxied, now):
            return self._forwarder.refuse(request, GatewayError.ENDING, MIN_RETRY_AFTER_S)
        self._forwarder.accept(proxied, now)
        return [
            EmitEvent(RequestCounted(request, proxied.service.name, route.name)),
            *self._forwarder.send(proxied, now),
            *self._schedule_stall_check(),
        ]

    def _may_accept(self, proxied: ProxiedRequest, now: float) -> bool:
        """Return whether a request can be finished before this process exits."""
        if self._draining_since is None or now <= self._draining_since + ACCEPT_WHILE_DRAINING_S:
            return True
        exit_at = self._draining_since + self._grace_s
        return proxied.deadline <= exit_at - DRAIN_RESERVE_S

    def _proxied_request(self, request: InboundRequest, route: Route, now: float) -> ProxiedRequest:
        timeout_s = route.timeout_s
        if request.deadline_s is not None:
            timeout_s = min(timeout_s, request.deadline_s)
        service = self.decision.service_for(request, route)
        return ProxiedRequest(request, route, service, now, now + timeout_s)

    def _on_client_disconnected(self, event: ev.HttpRequestClosed, now: float) -> list[fx.Effect]:
        proxied = self._forwarder.by_http.pop(event.request_id, None)
        if proxied is None or self._forwarder.by_call.pop(proxied.call_id, None) is None:
            return []
        self._forwarder.record_end(proxied, None, now)
        return [fx.CancelHttpCall(proxied.call_id)]

    # Stalled replicas -----------------------------------------------------

    def _schedule_stall_check(self) -> list[fx.Effect]:
        if self._is_stall_check_pending:
            return []
        self._is_stall_check_pending = True
        return [fx.StartTimer(_STALL_CHECK_TIMER, STALL_CHECK_INTERVAL_S)]

    def _on_stall_check(self, event: ev.TimerFired, now: float) -> list[fx.Effect]:
        """Move idempotent requests away from replicas that have stopped responding."""
        self._is_stall_check_pending = False
        effects = [
            effect
            for proxied in list(self._forwarder.by_call.values())
            if self._is_stalled(proxied, now)
            for effect in self._move(proxied, now)
        ]
        return effects + (self._schedule_stall_check() if self._forwarder.by_http else [])

    def _is_stalled(self, proxied: ProxiedRequest, now: float) -> bool:
        if not proxied.route.is_idempotent or proxied.executions >= proxied.route.max_replicas:
            return False
        if proxied.response_state is ResponseState.STREAMING:
            return now - proxied.last_response_at > STALL_TIMEOUT_S
        return self.decision.traffic.is_unresponsive(proxied.sent_to, now)

    def _move(self, proxied: ProxiedRequest, now: float) -> list[fx.Effect]:
        if not self._forwarder.may_retry(proxied, now):
            return []
        cancel = self._forwarder.cancel_call(proxied.call_id)
        self._forwarder.record_end(proxied, AttemptOutcome.TIMED_OUT, now)
        return [cancel, *self._forwarder.resume_stream(proxied, now)]
