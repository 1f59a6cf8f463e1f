"""Rebuilds the front's routing view when a distributed topic changes."""

from collections.abc import Callable
from typing import Any

import attrs
from expression import Result

from rooklug.config.document import Configuration
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent, InternalEvent
from rooklug.front.routing_view import RoutingView, ViewSources
from rooklug.front.view_building import build_routing_view
from rooklug.model import topics
from rooklug.model.internal_events import TopicChanged
from rooklug.model.settings import NodeSettings
from rooklug.model.versions import ZERO_VERSION, is_newer
from rooklug.wire.generated.control.ttypes import ConfigurationBody, VersionMark

ConfigurationReader = Callable[[bytes], Result[Configuration, Any]]


@attrs.frozen
class RoutingViewChanged(InternalEvent):
    """The front has a new routing view. At handling time the component may have a newer one."""

    view: RoutingView


class RoutingViewComponent(BaseComponent):
    """Holds the newest snapshot in ``view``; ignores topic bodies older than the last one."""

    name = "routing-view"
    subscribes_to = (TopicChanged,)

    def __init__(self, settings: NodeSettings, read_configuration: ConfigurationReader) -> None:
        self._settings = settings
        self._read = read_configuration
        self._versions: dict[str, VersionMark] = {}
        self._sources = ViewSources()
        self.view = self._build(None)

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Rebuild the view from a topic's new body and announce it; other events are ignored."""
        if not isinstance(event, TopicChanged):
            return []
        if not is_newer(event.version, self._versions.get(event.topic, ZERO_VERSION)):
            return []
        self._versions[event.topic] = event.version
        logs = self._apply_body(event.topic, event.body)
        self.view = self._build(self.view)
        return [*logs, EmitEvent(RoutingViewChanged(self.view))]

    def _build(self, previous: RoutingView | None) -> RoutingView:
        own = self._settings
        return build_routing_view(own.node_id, own.zone, own.region, self._sources, previous)

    def _apply_body(self, topic: str, body: Any) -> list[fx.Effect]:
        if topic == topics.CONFIGURATION:
            return self._apply_configuration(body)
        if topic == topics.ZONES:
            zones = frozenset(body.emptied_zones)
            self._sources = attrs.evolve(self._sources, drained_zones=zones)
        elif topic == topics.MEMBERS:
            self._sources = attrs.evolve(self._sources, nodes=tuple(body.nodes))
        elif topic == topics.REPLICAS:
            self._sources = attrs.evolve(self._sources, replicas=tuple(body.replicas))
        elif topic == topics.PLAN:
            self._sources = attrs.evolve(self._sources, plan=body)
        return []

    def _apply_configuration(self, body: ConfigurationBody) -> list[fx.Effect]:
        result = self._read(body.document)
        if result.is_error():
            fields = {"version": body.version, "problems": str(result.error)}
            return [fx.Log("error", "unreadable configuration ignored", fields)]
        self._sources = attrs.evolve(
            self._sources, configuration=result.ok, configuration_version=body.version
        )
        fields = {"version": body.version, "digest": body.digest}
        return [fx.Log("info", "configuration applied", fields)]
