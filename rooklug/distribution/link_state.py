"""The state that the modules of the core link share."""

from typing import Any

import attrs

from rooklug.distribution.core_finder import CoreFinder
from rooklug.distribution.node_lease import NodeLease
from rooklug.distribution.subscribed_topics import SubscribedTopics
from rooklug.distribution.timing import RENEW_SOON_S
from rooklug.engine import effects as fx
from rooklug.engine.reducer import ProcessContext
from rooklug.model.settings import NodeSettings

RENEW_TIMER = "renew"
POLL_TIMER = "poll"
PUBLISH_TIMER = "publish"
EXPIRY_TIMER = "expiry"


@attrs.frozen
class SentCall:
    """A call in flight. ``epoch`` is the highest that was known when it was sent."""

    call_id: int
    address: str
    request: Any
    sent_at: float
    epoch: int


class NoCallInFlightError(Exception):
    """An answer was handled by a module that has no call in flight."""


def ended(sent: SentCall | None) -> SentCall:
    """Return the call that has ended.

    Raises
    ------
    NoCallInFlightError
        There was none: a broken invariant of the core link.
    """
    if sent is None:
        raise NoCallInFlightError("an answer without a call")
    return sent


@attrs.define
class LinkState:
    """What the node knows of the core and has from it; ``stopping``: it releases its lease."""

    settings: NodeSettings
    context: ProcessContext
    finder: CoreFinder
    lease: NodeLease = attrs.field(factory=NodeLease)
    topics: SubscribedTopics = attrs.field(factory=SubscribedTopics)
    stopping: bool = False

    def call(
        self, request: Any, deadline_s: float, now: float, not_after: float | None = None
    ) -> tuple[SentCall, fx.Effect]:
        """Return a call to the present core, and the record of it."""
        call_id = self.context.identifiers.next()
        sent = SentCall(call_id, self.finder.address, request, now, self.lease.epoch)
        return sent, fx.Call(call_id, sent.address, request, deadline_s, not_after)

    def jittered_delay_s(self) -> float:
        """Return a short, jittered delay in seconds."""
        return RENEW_SOON_S * self.context.random.uniform(0.5, 1.5)
