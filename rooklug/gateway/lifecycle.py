"""A front's readiness and its graceful shutdown."""

from collections.abc import Callable

from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.gateway.gateway_events import ViewChanged
from rooklug.gateway.view import GatewayView

_TIMER = "drain"
_CHECK_S = 0.1
PROPAGATION_S = 2.5
"""Time for clients and the directory to learn that this front is draining."""
EXIT_RESERVE_S = 0.5
"""The process exits this long before its grace period ends."""


class Lifecycle(BaseComponent):
    """Reports this front's readiness to the core; on ``StopRequested``, drains and then exits.

    ``active`` returns the number of requests in flight.
    """

    name = "lifecycle"
    subscribes_to = (ViewChanged,)

    def __init__(self, core_link: CoreLink, active: Callable[[], int], grace_s: float) -> None:
        self._core_link = core_link
        self._active = active
        self._grace_s = grace_s
        self._view = GatewayView()
        self._draining_since: float | None = None

    def reason_not_ready(self) -> str:
        """Return "" when ready, else the reason.

        A front that has lost the control plane stays ready: it serves with its last view.
        """
        if self._draining_since is not None:
            return "draining"
        if self._view.configuration is None:
            return "no configuration yet"
        if not self._view.is_listed:
            return "no list of replicas yet"
        return ""

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Update readiness from a new view, start draining, or check the drain's progress."""
        if isinstance(event, ViewChanged):
            self._view = event.view
            return self._core_link.set_ready(self.reason_not_ready() == "")
        if isinstance(event, ev.StopRequested):
            return self._begin_drain(now)
        if isinstance(event, ev.TimerFired):
            return self._check_drain(now)
        return []

    def _begin_drain(self, now: float) -> list[fx.Effect]:
        if self._draining_since is not None:
            return []
        self._draining_since = now
        return [
            *self._core_link.set_ready(False),
            *self._core_link.set_draining(True),
            fx.StartTimer(_TIMER, _CHECK_S),
        ]

    def _check_drain(self, now: float) -> list[fx.Effect]:
        if self._draining_since is None:
            return []
        elapsed_s = now - self._draining_since
        if elapsed_s >= self._grace_s - EXIT_RESERVE_S:
            return [fx.StopProcess(0, f"end of the grace, {self._active()} requests cut off")]
        if elapsed_s >= min(PROPAGATION_S, self._grace_s / 2) and self._active() == 0:
            return [fx.StopProcess(0, "drained")]
        return [fx.StartTimer(_TIMER, _CHECK_S)]
