"""Sends requests to replicas, retries them, and gives clients their final answers.

Final answers: a replica's answer unchanged; 503 with ``Retry-After`` only when no replica
has run the request or will; 504 at its deadline; 502 when a replica may have run it and no answer
came. An answer that has begun and breaks off ends without its final chunk.
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
"""With less time left a request is not sent any more."""
RETRY_AFTER_FULL_S = 0.5
"""``Retry-After`` of a request whose attempts are used up."""


@attrs.define
class GatewayFigures:
    """Counters since the start of the process; each becomes a metric of its name."""

    arrived: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    repeated: int = 0
    broken: int = 0


class RequestForwarder:
    """The requests in flight of one front, and every way in which one is sent or ended."""

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
        """Take a request over until its final answer."""
        self.by_http[proxied.request.http_id] = proxied
        self.budgets.of(proxied.service.name).count_request(now)

    def send(self, proxied: ProxiedRequest, now: float) -> list[fx.Effect]:
        """Send a request to the replica that the decision object chooses, or give it up."""
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
        """Send a request once more if its route and the retry budget allow it, else give up."""
        if proxied.may_send_again() and self.may_retry(proxied, now):
            return self.send(proxied, now)
        return self.give_up(proxied, now, RETRY_AFTER_FULL_S)

    def may_retry(self, proxied: ProxiedRequest, now: float) -> bool:
        """Return whether this front's share of the retry budget allows one more retry."""
        fronts = len(self.decision.view.ready_fronts)
        return self.budgets.of(proxied.service.name).may_retry(fronts, now)

    def resume_stream(self, proxied: ProxiedRequest, now: float) -> list[fx.Effect]:
        """Go on at another replica if the route allows it, else end visibly broken."""
        proxied.incomplete_event = b""
        proxied.may_have_run = True
        return self.retry(proxied, now)

    def cancel_call(self, call_id: int) -> fx.Effect:
        """Stop waiting for a call's answer."""
        self.by_call.pop(call_id, None)
        return fx.CancelHttpCall(call_id)

    def record_end(
        self, proxied: ProxiedRequest, outcome: AttemptOutcome | None, now: float
    ) -> None:
        """Count the end of a request's present call."""
        self.decision.traffic.record_end(proxied.call_id, proxied.sent_to, outcome, now)

    # Final answers --------------------------------------------------------

    def respond(
        self, proxied: ProxiedRequest, status: int, headers: dict[str, str], body: bytes
    ) -> list[fx.Effect]:
        """Give the client a replica's complete answer."""
        if proxied.response_state is ResponseState.STREAMING:
            return self.abort_stream(proxied)
        self.forget(proxied)
        self.figures.answered += 1
        headers = self.answers.headers(headers)
        return [fx.HttpRespond(proxied.request.http_id, status, body, headers)]

    def end_stream(self, proxied: ProxiedRequest) -> list[fx.Effect]:
        """End a stream that is complete."""
        self.forget(proxied)
        self.figures.answered += 1
        return [fx.HttpStreamEnd(proxied.request.http_id)]

    def abort_stream(self, proxied: ProxiedRequest) -> list[fx.Effect]:
        """End a stream without its final chunk: the client sees that it is cut off."""
        self.figures.broken += 1
        self.forget(proxied)
        return [fx.HttpStreamAbort(proxied.request.http_id)]

    def give_up(
        self, proxied: ProxiedRequest, now: float, retry_after_s: float = 0.0
    ) -> list[fx.Effect]:
        """Give the final answer at once; a request that has not run gets ``Retry-After``."""
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
        """Give the front's own answer to a request."""
        if error in (GatewayError.TIMED_OUT, GatewayError.MAY_HAVE_RUN):
            self.figures.failed += 1
        else:
            self.figures.refused += 1
        return [self.answers.refusal(request, error, retry_after_s)]

    def forget(self, proxied: ProxiedRequest) -> None:
        """Drop a request that has its final answer."""
        self.by_http.pop(proxied.request.http_id, None)
        self.by_call.pop(proxied.call_id, None)
