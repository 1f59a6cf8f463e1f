"""The processes of the simulated membership world, and what stands in for their other parts."""

import attrs

from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent, InternalEvent
from rooklug.engine.composite import CompositeReducer
from rooklug.model import internal_events as internal
from rooklug.model.settings import NodeSettings
from rooklug.model.topics import PLAN, ROLE_PLACER
from rooklug.model.versions import is_newer
from rooklug.wire.generated.control import ttypes


@attrs.frozen
class EmitEventsRequest:
    """A request that makes ``FakeReplication`` emit the given events."""

    events: tuple[InternalEvent, ...]


class FakeReplication(BaseComponent):
    """Stands in for replication in a core: it emits the events that a test sends it."""

    name = "replication"
    call_types = (EmitEventsRequest,)

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        emitted = event.request.events if isinstance(event, ev.CallArrived) else ()
        return [EmitEvent(event) for event in emitted]


class Observer(BaseComponent):
    """Publishes plans while its node owns the placer role, and records all internal events."""

    name = "observer"
    subscribes_to = (internal.TopicChanged, internal.GrantsChanged, InternalEvent)

    def __init__(self, link: CoreLink) -> None:
        self.link = link
        self.versions: dict[str, ttypes.VersionMark] = {}
        self.version_regressions: list[str] = []
        self.internal_events: list[InternalEvent] = []
        self.plans = 0

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        if not isinstance(event, InternalEvent):
            return [fx.StartTimer("plan", 0.7), *self._publish(now)]
        self.internal_events.append(event)
        if isinstance(event, internal.TopicChanged):
            previous = self.versions.get(event.topic)
            if previous is not None and not is_newer(event.version, previous):
                self.version_regressions.append(f"{event.topic} {previous} -> {event.version}")
            self.versions[event.topic] = event.version
        return []

    def _publish(self, now: float) -> list[fx.Effect]:
        if self.link.grant(ROLE_PLACER, now) is None:
            return []
        self.plans += 1
        decision = ttypes.DecisionRecord(None, None, "plan", "test", f"plan {self.plans}", 0)
        body = ttypes.PlanBody(self.plans, [], [], "test")
        return self.link.publish(PLAN, ROLE_PLACER, body, [decision], now)


@attrs.define
class Process:
    """A simulated process. Events for a frozen one wait in ``deferred_events``.

    ``timers`` holds the id of the running timer of each name.
    """

    name: str
    address: str
    reducer: CompositeReducer
    clock_rate: float
    alive: bool = True
    frozen: bool = False
    deferred_events: list = attrs.field(factory=list)
    timers: dict[str, int] = attrs.field(factory=dict)
    calls: dict[int, bool] = attrs.field(factory=dict)


def node_settings(name: str, role: str, zone: str, seeds: tuple[str, ...]) -> NodeSettings:
    address = f"{name}:1"
    return NodeSettings(name, role, zone, "region", address, address, address, address, seeds)
