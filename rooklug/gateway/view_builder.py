"""Builds the gateway's view from the topics that the core distributes."""

from collections.abc import Callable
from typing import Any

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent
from rooklug.gateway.document_reader import read_gateway_configuration
from rooklug.gateway.gateway_events import ViewChanged
from rooklug.gateway.serving_fronts import machine_of
from rooklug.gateway.view import FRONT_ROLE, GatewayReplica, GatewayView, matrix_of
from rooklug.model.internal_events import TopicChanged
from rooklug.model.topics import CONFIGURATION, MEMBERS, PLAN, REPLICAS, ZONES
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    ListedReplica,
    MembersBody,
    PlanBody,
    ReplicasBody,
    VersionMark,
    ZonesBody,
)

RESTORED_SLOW_START_S = 2.5
"""Replicas of a zone that returns to service may have restarted just before. The list shows this
only after the platform's lag, one poll and the distribution to the fronts; until then the replicas
count as being in slow start."""


class GatewayViewBuilder(BaseComponent):
    """Holds the latest view and emits ``ViewChanged`` after each topic update."""

    name = "gateway-view"
    subscribes_to = (TopicChanged,)

    def __init__(self) -> None:
        self.view = GatewayView()
        self._listed_until: dict[str, float] = {}
        self._restored_until: dict[str, float] = {}
        self._handlers: dict[str, Callable[[Any, VersionMark, float], list[fx.Effect]]] = {
            CONFIGURATION: self._apply_configuration,
            ZONES: self._apply_zones,
            MEMBERS: self._apply_members,
            REPLICAS: self._apply_replicas,
            PLAN: self._apply_plan,
        }

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Apply the new body of a topic to the view."""
        if not isinstance(event, TopicChanged):
            return []
        effects = self._handlers[event.topic](event.body, event.version, now)
        return [*effects, EmitEvent(ViewChanged(self.view))]

    def _apply_configuration(
        self, body: ConfigurationBody, version: VersionMark, now: float
    ) -> list[fx.Effect]:
        read = read_gateway_configuration(body.document)
        if read.is_error():
            fields = {"version": body.version, "problems": [p.message for p in read.error[:5]]}
            return [fx.Log("error", "configuration rejected; keeping the previous one", fields)]
        self.view = attrs.evolve(self.view, configuration=read.ok)
        fields = {"version": body.version, "epoch": version.epoch}
        return [fx.Log("info", "configuration applied", fields)]

    def _apply_zones(self, body: ZonesBody, version: VersionMark, now: float) -> list[fx.Effect]:
        drained = frozenset(body.emptied_zones)
        for zone in self.view.drained_zones - drained:
            self._restored_until[zone] = now + RESTORED_SLOW_START_S
        replicas = {
            service: tuple(self._with_slow_start(replica, now) for replica in found)
            for service, found in self.view.replicas.items()
        }
        self.view = attrs.evolve(self.view, drained_zones=drained, replicas=replicas)
        fields = {"zones": sorted(drained), "epoch": version.epoch, "counter": version.counter}
        return [fx.Log("info", "drained zones applied", fields)]

    def _apply_members(
        self, body: MembersBody, version: VersionMark, now: float
    ) -> list[fx.Effect]:
        fronts = tuple(node for node in body.nodes if node.role == FRONT_ROLE)
        machines = {machine_of(address) for address in body.core_addresses or ()}
        self.view = attrs.evolve(self.view, fronts=fronts, core_machines=frozenset(machines))
        return []

    def _apply_replicas(
        self, body: ReplicasBody, version: VersionMark, now: float
    ) -> list[fx.Effect]:
        self._record_slow_starts(body.replicas, now)
        by_service: dict[str, list[GatewayReplica]] = {}
        for listed in body.replicas:
            replica = self._with_slow_start(_replica(listed), now)
            by_service.setdefault(listed.backend, []).append(replica)
        replicas = {service: tuple(found) for service, found in by_service.items()}
        self.view = attrs.evolve(self.view, replicas=replicas, has_replica_list=True)
        return [fx.Log("debug", "list of replicas updated", {"replicas": len(body.replicas)})]

    def _record_slow_starts(self, listed: list[ListedReplica], now: float) -> None:
        """Record when each replica's slow start ends; a repeated entry doesn't extend it."""
        known, self._listed_until = self._listed_until, {}
        for replica in listed:
            if replica.cold_ms:
                until = known.get(replica.replica_id, 0.0)
                fresh = now + replica.cold_ms / 1000
                self._listed_until[replica.replica_id] = until if until > now else fresh

    def _with_slow_start(self, replica: GatewayReplica, now: float) -> GatewayReplica:
        listed = self._listed_until.get(replica.replica_id, 0.0)
        restored = self._restored_until.get(replica.zone, 0.0)
        return attrs.evolve(replica, slow_start_until=max(listed, restored))

    def _apply_plan(self, body: PlanBody, version: VersionMark, now: float) -> list[fx.Effect]:
        self.view = attrs.evolve(self.view, matrix=matrix_of(body.matrix))
        return []


def _replica(listed: ListedReplica) -> GatewayReplica:
    return GatewayReplica(
        replica_id=listed.replica_id,
        address=listed.address,
        service=listed.backend,
        region=listed.region,
        zone=listed.zone,
        slots=listed.slots or 1,
        draining=listed.leaving,
    )
