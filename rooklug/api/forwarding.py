"""Forwards operators' requests to the primary core, with retries until an answer or the deadline.

Orders are idempotent: a core identifies a change by (version, digest) and a zone order by its
operation id, and answers a repeat like the first. If an answer is lost, the same order is sent
to the next primary. If no core has answered an order by the deadline, the response depends only
on whether an attempt may have reached a core: 504 if so, else 503.
"""

import attrs

from rooklug.api.answers import unavailable_answer, unknown_answer
from rooklug.api.verdicts import Final, Retry, interpret_answer, is_order
from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers
from rooklug.wire.generated.control.ttypes import ReadDecisionsRequest

FORWARD_DEADLINE_S = 6.0
ATTEMPT_DEADLINE_S = 2.0
RETRY_DELAY_S = 0.2
MAX_ATTEMPTS = 40
_TIMER_PREFIX = "retry:"


@attrs.define
class _ForwardedRequest:
    """A request that is being forwarded; ``maybe_taken``: an attempt may have reached a core."""

    request_id: int
    request: object
    deadline: float
    attempts: int = 0
    maybe_taken: bool = False
    redirect_address: str = ""
    call_id: int = 0


class Forwarder:
    """Tracks the requests that wait for a core; ``core_link`` supplies the primary's address."""

    def __init__(
        self, identifiers: Identifiers, core_link: CoreLink, seeds: tuple[str, ...]
    ) -> None:
        self._identifiers = identifiers
        self._core_link = core_link
        self._seeds = seeds
        self._by_request: dict[int, _ForwardedRequest] = {}
        self._by_call: dict[int, _ForwardedRequest] = {}

    def __len__(self) -> int:
        """Return the number of requests that wait for a core."""
        return len(self._by_request)

    def start(self, request_id: int, request: object, now: float) -> list[fx.Effect]:
        """Send the first attempt; a poll of decisions extends the deadline by its wait."""
        wait_s = request.wait_ms / 1000 if isinstance(request, ReadDecisionsRequest) else 0.0
        forward = _ForwardedRequest(request_id, request, now + wait_s + FORWARD_DEADLINE_S)
        self._by_request[request_id] = forward
        return self._attempt(forward, now)

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Handle an answer, a failed call, a retry timer, or a closed operator connection."""
        if isinstance(event, ev.CallAnswered):
            return self._on_call_answered(event, now)
        if isinstance(event, ev.CallFailed):
            return self._on_call_failed(event, now)
        if isinstance(event, ev.HttpRequestClosed):
            return self._on_request_closed(event)
        if isinstance(event, ev.TimerFired) and event.name.startswith(_TIMER_PREFIX):
            forward = self._by_request.get(int(event.name.removeprefix(_TIMER_PREFIX)))
            return self._attempt(forward, now) if forward else []
        return []

    def _attempt(self, forward: _ForwardedRequest, now: float) -> list[fx.Effect]:
        address = self._next_address(forward)
        remaining_s = forward.deadline - now
        if remaining_s <= 0 or forward.attempts >= MAX_ATTEMPTS:
            return self._give_up(forward)
        if not address:
            return self._schedule_retry(forward, now)
        forward.attempts += 1
        forward.call_id = self._identifiers.next()
        self._by_call[forward.call_id] = forward
        deadline_s = min(remaining_s, self._attempt_deadline_s(forward.request))
        return [fx.Call(forward.call_id, address, forward.request, deadline_s)]

    def _next_address(self, forward: _ForwardedRequest) -> str:
        redirect_address, forward.redirect_address = forward.redirect_address, ""
        if redirect_address:
            return redirect_address
        known = self._core_link.primary_address
        # Every second attempt goes to the seeds in turn, as the link's address may be outdated.
        if known and forward.attempts % 2 == 0:
            return known
        return self._seeds[forward.attempts // 2 % len(self._seeds)] if self._seeds else known

    @staticmethod
    def _attempt_deadline_s(request: object) -> float:
        if isinstance(request, ReadDecisionsRequest):
            return request.wait_ms / 1000 + ATTEMPT_DEADLINE_S
        return ATTEMPT_DEADLINE_S

    def _on_call_answered(self, event: ev.CallAnswered, now: float) -> list[fx.Effect]:
        forward = self._by_call.pop(event.call_id, None)
        if forward is None:
            return []
        verdict = interpret_answer(event.answer, forward.request, forward.request_id)
        if isinstance(verdict, Final):
            del self._by_request[forward.request_id]
            return [verdict.response]
        return self._retry(forward, verdict, now)

    def _retry(self, forward: _ForwardedRequest, verdict: Retry, now: float) -> list[fx.Effect]:
        forward.maybe_taken = forward.maybe_taken or verdict.maybe_taken
        first_redirect = verdict.primary_address and forward.attempts <= 1
        forward.redirect_address = verdict.primary_address
        return self._attempt(forward, now) if first_redirect else self._schedule_retry(forward, now)

    def _on_call_failed(self, event: ev.CallFailed, now: float) -> list[fx.Effect]:
        forward = self._by_call.pop(event.call_id, None)
        if forward is None:
            return []
        forward.maybe_taken = forward.maybe_taken or event.maybe_delivered
        return self._schedule_retry(forward, now)

    def _schedule_retry(self, forward: _ForwardedRequest, now: float) -> list[fx.Effect]:
        if now + RETRY_DELAY_S >= forward.deadline:
            return self._give_up(forward)
        return [fx.StartTimer(f"{_TIMER_PREFIX}{forward.request_id}", RETRY_DELAY_S)]

    def _give_up(self, forward: _ForwardedRequest) -> list[fx.Effect]:
        del self._by_request[forward.request_id]
        if forward.maybe_taken and is_order(forward.request):
            return [unknown_answer(forward.request_id)]
        return [unavailable_answer(forward.request_id, "no primary core could be reached")]

    def _on_request_closed(self, event: ev.HttpRequestClosed) -> list[fx.Effect]:
        forward = self._by_request.pop(event.request_id, None)
        if forward is None:
            return []
        self._by_call.pop(forward.call_id, None)
        return [fx.CancelTimer(f"{_TIMER_PREFIX}{event.request_id}")]
