"""Sends requests to replicas, retries them, and gives clients their final responses.

The final response is one of: a replica's response, unchanged; 503 with ``Retry-After``, only if no
replica has run the request or will; 504 at the deadline; 502 if a replica may have run the request
but no response arrived. A response that has started and is cut off ends without its final chunk.
"""

import attrs

from rooklug.engine import effects as fx
from rooklug.engine.reducer import Identifiers
from rooklug.front.outcomes import AttemptOutcome
from rooklug.gateway.answers import GatewayError
from rooklug.gateway.client_answers import ClientAnswers
from rooklug.gateway.decision import Decision, Refuse
from rooklug.gateway.protocols import HeaderNames
from rooklug.gateway.proxied_request import ProxiedRequest, ResponseState
from rooklug.gateway.replica_call import replica_call
from rooklug.gateway.requests import InboundRequest
from rooklug.gateway.retry_budget import RetryBudgets, RetryBudgetSettings

MIN_TIME_TO_SEND_S = 0.01
"""A request with less time left is not sent."""
RETRY_AFTER_FULL_S = 0.5
"""``Retry-After`` of a request that has used up its attempts or the retry budget."""


@attrs.define
class GatewayFigures:
    """Counters since the start of the process; field names become parts of metric names."""

    arrived: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    repeated: int = 0
    broken: int = 0


class RequestForwarder:
    """Holds a front's requests in flight; every send and every final response goes through it."""

    def __init__(
        self,
        decision: Decision,
        names: HeaderNames,
        identifiers: Identifiers,
        budget: RetryBudgetSettings,
    ) -> None:
        self.decision = decision
        self.names = names
        self.answers = ClientAnswers(names)
        self.budgets = RetryBudgets(budget)
        self.by_http: dict[int, ProxiedRequest] = {}
        self.by_call: dict[int, ProxiedRequest] = {}
        self.figures = GatewayFigures()
        self._identifiers = identifiers

    def accept(self, proxied: ProxiedRequest, now: float) -> None:
        """Register a request until its final response, and count it for the retry budget."""
        self.by_http[proxied.request.http_id] = proxied
        self.budgets.of(proxied.service.name).count_request(now)

    def send(self, proxied: ProxiedRequest, now: float) -> list[fx.Effect]:
        """Send a request to the replica that the decision object chooses, or end it."""
        if proxied.remaining_s(now) < MIN_TIME_TO_SEND_S:
            return self.give_up(proxied, now)
        tried = frozenset(proxied.tried)
        verdict = self.decision.choose(proxied.request, proxied.route, proxied.service, tried, now)
        if isinstance(verdict, Refuse):
            return self.give_up(proxied, now, verdict.retry_after_s)
        replica = verdict.replica
        if proxied.sends:
            self.budgets.of(proxied.service.name).count_retry(now)
            self.figures.repeated += 1
        proxied.replica = replica
        proxied.tried.add(replica.replica_id)
        proxied.executions += 1
        proxied.sends += 1
        proxied.call_id = self._identifiers.next()
        self.by_call[proxied.call_id] = proxied
        self.decision.traffic.record_send(
            proxied.call_id,
            proxied.request,
            replica,
            proxied.service,
            self.decision.view.send_shares,
            now,
        )
        return [replica_call(proxied, replica, self.names, now)]

    def retry(self, proxied: ProxiedRequest, now: float) -> list[fx.Effect]:
        """Send a request again if its route and the retry budget allow it, else end it."""
        if proxied.may_send_again() and self.may_retry(proxied, now):
            return self.send(proxied, now)
        return self.give_up(proxied, now, RETRY_AFTER_FULL_S)

    def may_retry(self, proxied: ProxiedRequest, now: float) -> bool:
        """Return whether this front's share of the retry budget allows one more retry."""
        fronts = len(self.decision.view.ready_fronts)
        return self.budgets.of(proxied.service.name).may_retry(fronts, now)

    def resume_stream(self, proxied: ProxiedRequest, now: float) -> list[fx.Effect]:
        """Continue a stream on another replica if the route allows it, else abort it."""
        proxied.incomplete_event = b""
        proxied.may_have_run = True
        return self.retry(proxied, now)

    def cancel_call(self, call_id: int) -> fx.Effect:
        """Forget a call and return the effect that cancels it."""
        self.by_call.pop(call_id, None)
        return fx.CancelHttpCall(call_id)

    def record_end(
        self, proxied: ProxiedRequest, outcome: AttemptOutcome | None, now: float
    ) -> None:
        """Record in the traffic record that the request's current call has ended."""
        self.decision.traffic.record_end(proxied.call_id, proxied.sent_to, outcome, now)

    # Final responses ------------------------------------------------------

    def respond(
        self, proxied: ProxiedRequest, status: int, headers: dict[str, str], body: bytes
    ) -> list[fx.Effect]:
        """Send the client a replica's complete response; a started stream is aborted instead."""
        if proxied.response_state is ResponseState.STREAMING:
            return self.abort_stream(proxied)
        self.forget(proxied)
        self.figures.answered += 1
        headers = self.answers.headers(headers)
        return [fx.HttpRespond(proxied.request.http_id, status, body, headers)]

    def end_stream(self, proxied: ProxiedRequest) -> list[fx.Effect]:
        """End a complete stream with its final chunk."""
        self.forget(proxied)
        self.figures.answered += 1
        return [fx.HttpStreamEnd(proxied.request.http_id)]

    def abort_stream(self, proxied: ProxiedRequest) -> list[fx.Effect]:
        """End a stream without its final chunk, so that the client sees that it is incomplete."""
        self.figures.broken += 1
        self.forget(proxied)
        return [fx.HttpStreamAbort(proxied.request.http_id)]

    def give_up(
        self, proxied: ProxiedRequest, now: float, retry_after_s: float = 0.0
    ) -> list[fx.Effect]:
        """Send the final error response; it has ``Retry-After`` if the request has not run."""
        if proxied.response_state is ResponseState.STREAMING:
            return self.abort_stream(proxied)
        self.forget(proxied)
        if proxied.remaining_s(now) <= MIN_TIME_TO_SEND_S:
            return self.refuse(proxied.request, GatewayError.TIMED_OUT)
        if proxied.may_have_run:
            return self.refuse(proxied.request, GatewayError.MAY_HAVE_RUN)
        return self.refuse(proxied.request, GatewayError.NOT_RUN, retry_after_s)

    def refuse(
        self, request: InboundRequest, error: GatewayError, retry_after_s: float = 0.0
    ) -> list[fx.Effect]:
        """Send the front's own error response to a request and count it."""
        if error in (GatewayError.TIMED_OUT, GatewayError.MAY_HAVE_RUN):
            self.figures.failed += 1
        else:
            self.figures.refused += 1
        return [self.answers.refusal(request, error, retry_after_s)]

    def forget(self, proxied: ProxiedRequest) -> None:
        """Drop a request that has got its final response."""
        self.by_http.pop(proxied.request.http_id, None)
        self.by_call.pop(proxied.call_id, None)
