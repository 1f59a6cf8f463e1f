"""Answers ``GET /v1/ready`` and drains the front before its process stops."""

from collections.abc import Callable

import attrs

from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent, InternalEvent
from rooklug.front.answers import json_answer
from rooklug.front.view_component import RoutingViewChanged, RoutingViewComponent

READY_PATH = "/v1/ready"
DRAIN_TIMER = "drain"
DRAIN_CHECK_S = 0.1
DRAIN_PROPAGATION_S = 1.5
# Must be below the grace period after which the runtime stops the process by itself.
DRAIN_LIMIT_S = 25.0


@attrs.frozen
class DrainingStarted(InternalEvent):
    """This front accepts no more new requests and stops once the active ones have ended."""


class Readiness(BaseComponent):
    """Reports to the platform and to the core whether this front accepts requests.

    After ``StopRequested`` it stops the process once no request is active: at the earliest after
    ``DRAIN_PROPAGATION_S``, so that other nodes learn of the drain first, and at the latest after
    ``DRAIN_LIMIT_S``. Components with requests of their own register a counter of them with
    ``register_active_counter``.
    """

    name = "readiness"
    http_prefixes = (READY_PATH,)
    subscribes_to = (RoutingViewChanged,)

    def __init__(self, view_component: RoutingViewComponent, core_link: CoreLink) -> None:
        self._view_component = view_component
        self._core_link = core_link
        self._active_counters: list[Callable[[], int]] = []
        self._draining_since: float | None = None

    @property
    def draining(self) -> bool:
        """Whether the drain has started; it never ends except with the process."""
        return self._draining_since is not None

    def register_active_counter(self, active_requests: Callable[[], int]) -> None:
        """Register a counter of active requests; the drain waits until all counters are 0."""
        self._active_counters.append(active_requests)

    def reason_not_ready(self) -> str:
        """Return why the front is not ready, "" if it is ready.

        Losing the control plane does not make a front unready: it keeps serving its last view.
        """
        view = self._view_component.view
        if self.draining:
            return "draining"
        if view.configuration is None:
            return "no configuration yet"
        if view.sources.replicas is None:
            return "no list of replicas yet"
        if view.own_zone_drained:
            return "zone emptied"
        return ""

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Answer readiness requests, report readiness after view changes, and run the drain."""
        if isinstance(event, ev.HttpRequestArrived):
            return [self._answer(event)]
        if isinstance(event, RoutingViewChanged):
            return self._core_link.set_ready(self.reason_not_ready() == "")
        if isinstance(event, ev.StopRequested):
            return self._begin_drain(now)
        if isinstance(event, ev.TimerFired):
            return self._check_drain(now)
        return []

    def _answer(self, event: ev.HttpRequestArrived) -> fx.Effect:
        reason = self.reason_not_ready()
        document = {"ready": reason == "", "reason": reason}
        return json_answer(event.request_id, 503 if reason else 200, document)

    def _begin_drain(self, now: float) -> list[fx.Effect]:
        if self.draining:
            return []
        self._draining_since = now
        return [
            *self._core_link.set_ready(False),
            *self._core_link.set_draining(True),
            EmitEvent(DrainingStarted()),
            fx.Log(
                "info",
                "drain started; stopping once no request is active",
                {"active": self._active()},
            ),
            fx.StartTimer(DRAIN_TIMER, DRAIN_CHECK_S),
        ]

    def _check_drain(self, now: float) -> list[fx.Effect]:
        if self._draining_since is None:
            return []
        elapsed = now - self._draining_since
        if elapsed >= DRAIN_LIMIT_S:
            return [fx.StopProcess(0, f"drain limit, {self._active()} requests cut off")]
        if elapsed >= DRAIN_PROPAGATION_S and self._active() == 0:
            return [fx.StopProcess(0, "drained")]
        return [fx.StartTimer(DRAIN_TIMER, DRAIN_CHECK_S)]

    def _active(self) -> int:
        return sum(counter() for counter in self._active_counters)
