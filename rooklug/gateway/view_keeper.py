"""Builds the gateway's view from the topics that the core distributes."""

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.composite import Notify, PartDefaults
from rooklug.gateway.document import read_gateway_configuration
from rooklug.gateway.notices import ViewChanged
from rooklug.gateway.view import FRONT_ROLE, GatewayReplica, GatewayView, matrix_of
from rooklug.model.notices import TopicChanged
from rooklug.model.topics import CONFIGURATION, MEMBERS, PLAN, REPLICAS, ZONES
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    ListedReplica,
    MembersBody,
    PlanBody,
    ReplicasBody,
    ZonesBody,
)


class GatewayViewKeeper(PartDefaults):
    """Holds the newest view and tells the other parts of each change."""

    name = "gateway-view"
    notice_types = (TopicChanged,)

    def __init__(self) -> None:
        self.view = GatewayView()
        self._takers = {
            CONFIGURATION: self._take_configuration,
            ZONES: self._take_zones,
            MEMBERS: self._take_members,
            REPLICAS: self._take_replicas,
            PLAN: self._take_plan,
        }

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take a topic's newer body."""
        if not isinstance(event, TopicChanged):
            return []
        effects = self._takers[event.topic](event.body, now)
        return [*effects, Notify(ViewChanged(self.view))]

    def _take_configuration(self, body: ConfigurationBody, now: float) -> list[fx.Effect]:
        read = read_gateway_configuration(body.document)
        if read.is_error():
            fields = {"version": body.version, "problems": [p.message for p in read.error[:5]]}
            return [fx.Log("error", "the configuration can't be read", fields)]
        self.view = attrs.evolve(self.view, configuration=read.ok)
        return [fx.Log("debug", "serves under a configuration", {"version": body.version})]

    def _take_zones(self, body: ZonesBody, now: float) -> list[fx.Effect]:
        self.view = attrs.evolve(self.view, emptied_zones=frozenset(body.emptied_zones))
        return []

    def _take_members(self, body: MembersBody, now: float) -> list[fx.Effect]:
        fronts = tuple(node for node in body.nodes if node.role == FRONT_ROLE)
        machines = {address.rpartition(":")[0] for address in body.core_addresses or ()}
        self.view = attrs.evolve(self.view, fronts=fronts, core_machines=frozenset(machines))
        return []

    def _take_replicas(self, body: ReplicasBody, now: float) -> list[fx.Effect]:
        cold_until = {
            replica.replica_id: replica.cold_until
            for replicas in self.view.replicas.values()
            for replica in replicas
        }
        by_service: dict[str, list[GatewayReplica]] = {}
        for listed in body.replicas:
            replica = _replica(listed, cold_until.get(listed.replica_id, 0.0), now)
            by_service.setdefault(listed.backend, []).append(replica)
        replicas = {service: tuple(found) for service, found in by_service.items()}
        self.view = attrs.evolve(self.view, replicas=replicas, is_listed=True)
        return []

    def _take_plan(self, body: PlanBody, now: float) -> list[fx.Effect]:
        self.view = attrs.evolve(self.view, matrix=matrix_of(body.matrix))
        return []


def _replica(listed: ListedReplica, held_cold_until: float, now: float) -> GatewayReplica:
    cold_until = 0.0
    if listed.cold_ms:
        # An unchanged entry in a newer list must not prolong the slow start.
        cold_until = held_cold_until if held_cold_until > now else now + listed.cold_ms / 1000
    return GatewayReplica(
        replica_id=listed.replica_id,
        address=listed.address,
        service=listed.backend,
        region=listed.region,
        zone=listed.zone,
        slots=listed.slots or 1,
        leaving=listed.leaving,
        cold_until=cold_until,
    )
