"""The state that renewal, polling and publishing of the core link share."""

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
    """A call in flight. ``epoch`` is the highest known epoch at the time of sending."""

    call_id: int
    address: str
    request: Any
    sent_at: float
    epoch: int


class NoCallInFlightError(Exception):
    """An answer or failure was handled while no call was in flight: a bug in the core link."""


def require_in_flight(sent: SentCall | None) -> SentCall:
    """Return the call in flight.

    Raises
    ------
    NoCallInFlightError
        If there is none.
    """
    if sent is None:
        raise NoCallInFlightError("call completed although none is in flight")
    return sent


@attrs.define
class LinkState:
    """The node's lease, topics and choice of core. ``stopping``: it is releasing its lease."""

    settings: NodeSettings
    context: ProcessContext
    finder: CoreFinder
    lease: NodeLease = attrs.field(factory=NodeLease)
    topics: SubscribedTopics = attrs.field(factory=SubscribedTopics)
    stopping: bool = False

    def call(
        self, request: Any, deadline_s: float, now: float, not_after: float | None = None
    ) -> tuple[SentCall, fx.Effect]:
        """Return the record of a new call to the present core, and the effect that sends it.

        The call isn't sent after the monotonic time ``not_after``.
        """
        call_id = self.context.identifiers.next()
        sent = SentCall(call_id, self.finder.address, request, now, self.lease.epoch)
        return sent, fx.Call(call_id, sent.address, request, deadline_s, not_after)

    def jittered_delay_s(self) -> float:
        """Return ``RENEW_SOON_S`` with jitter."""
        return RENEW_SOON_S * self.context.random.uniform(0.5, 1.5)
