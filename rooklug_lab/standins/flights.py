"""Requests of a caller that are under way."""

from typing import Any

import attrs

from rooklug_lab.standins.answers import StreamCheck
from rooklug_lab.standins.records import Attempt, CallerRequest, Outcome
from rooklug_lab.standins.settings import RouteLoad


@attrs.define
class StreamedResponse:
    """A response that is read piece by piece; ``body`` is kept for refusals only."""

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""


@attrs.define
class Flight:
    """A request under way. ``tried`` are fronts that failed for it."""

    number: int
    record: CallerRequest
    load: RouteLoad
    body: dict[str, Any]
    stream: bool
    where_calls: int = 0
    redirects: int = 0
    attempt: Attempt | None = None
    check: StreamCheck | None = None
    response: StreamedResponse = attrs.field(factory=StreamedResponse)
    tried: list[str] = attrs.field(factory=list)

    @property
    def destination_key(self) -> tuple[str, ...]:
        """What an answer to "where to go" is good for: the route and the prompt parts."""
        return (self.load.route, *self.body.get("prompt_parts", ()))

    def left_s(self, now: float) -> float:
        """Return the time left until the caller's deadline."""
        return self.record.started_s + self.record.deadline_s - now

    def begin_attempt(self, address: str, now: float) -> None:
        """Begin a further attempt at the front with this address."""
        number = len(self.record.attempts) + 1
        request_id = f"{self.record.request_id}-try{number}."
        self.attempt = Attempt(request_id, address, now)
        self.record.attempts.append(self.attempt)
        self.check = StreamCheck(request_id) if self.stream else None
        self.redirects = 0

    def worst_outcome(self) -> Outcome:
        """Return the outcome that says least about what ran, of all attempts."""
        outcomes = [attempt.outcome for attempt in self.record.attempts]
        for outcome in (Outcome.UNKNOWN, Outcome.BROKEN, Outcome.FAILED):
            if outcome in outcomes:
                return outcome
        return Outcome.NOT_RUN
