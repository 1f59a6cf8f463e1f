"""Simulated control plane: publishes the replica list, members and plan, each with its delay.

The plan comes from the real planner; distribution of topics to the fronts is reduced to a delay.
"""

from typing import TYPE_CHECKING

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.engine.reducer import Identifiers
from rooklug.gateway.demand import REPORT_INTERVAL_S
from rooklug.gateway.gateway_events import ReplicasListed, ViewChanged
from rooklug.gateway.listing import READ_INTERVAL_S
from rooklug.gateway.region_planner import SOLVE_INTERVAL_S, RegionPlanner
from rooklug.gateway.view import GatewayView
from rooklug.gateway.view_builder import GatewayViewBuilder
from rooklug.model.internal_events import (
    ConfigurationCommitted,
    PrimaryStarted,
    TopicChanged,
    TopicOffered,
    ZonesCommitted,
)
from rooklug.model.topics import CONFIGURATION, MEMBERS, PLAN, REPLICAS, ZONES
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    DemandEntry,
    DemandReport,
    ListedReplica,
    MembersBody,
    NodeRecord,
    ReplicasBody,
    VersionMark,
    ZonesBody,
)
from rooklug_lab.gateway.replicas import ENDED_LISTED_S, LIST_LAG_S
from rooklug_lab.policy.document import document_of

if TYPE_CHECKING:
    from rooklug_lab.policy.fronts import EmulatedFront
    from rooklug_lab.policy.replicas import EmulatedReplica
    from rooklug_lab.policy.world import PolicyWorld

DISTRIBUTION_S = 0.1
"""Delay until a published topic reaches the fronts."""
SOLVE_S = 0.1
"""Duration of a planner computation."""
MEMBERS_INTERVAL_S = 0.1
LEASE_S = 1.6
"""A killed front stays a member for this time, until its lease expires."""
START_S = 0.6
"""A starting front becomes ready, and so a member, after this time."""
EPOCH = 1


@attrs.define(eq=False)
class EmulatedControl:
    """Maintains the one view that all fronts receive; ``evacuated`` holds zone names."""

    world: "PolicyWorld"
    view_builder: GatewayViewBuilder = attrs.field(factory=GatewayViewBuilder)
    planner: RegionPlanner = attrs.field(factory=lambda: RegionPlanner(Identifiers()))
    evacuated: set[str] = attrs.field(factory=set)
    _counter: int = 0
    _history: list[tuple[float, list[ListedReplica]]] = attrs.field(factory=list)
    _ended: dict[str, tuple[float, ListedReplica]] = attrs.field(factory=dict)
    _members: dict[str, tuple[bool, float]] = attrs.field(factory=dict)
    _published_members: tuple[str, ...] | None = None
    _published_list: tuple = ()

    @property
    def view(self) -> GatewayView:
        """The latest published view, which fronts receive ``DISTRIBUTION_S`` later."""
        return self.view_builder.view

    def start(self) -> None:
        """Publish the configuration, members and replica list, then start the periodic updates."""
        document = document_of(self.world.site)
        body = ConfigurationBody(1, "", document)
        version = VersionMark(EPOCH, 1)
        self._plan(ConfigurationCommitted(version, body))
        self._change(CONFIGURATION, body)
        self._plan(PrimaryStarted(EPOCH))
        self._publish_members()
        self._record_list()
        self._read_list()
        self._every(READ_INTERVAL_S, self._read_list)
        self._every(0.1, self._record_list)
        self._every(MEMBERS_INTERVAL_S, self._publish_members)
        self._every(REPORT_INTERVAL_S, self._report_demand)
        self._every(SOLVE_INTERVAL_S, lambda: self._plan(ev.TimerFired("solve")))

    def evacuate(self, zone: str, is_evacuated: bool) -> None:
        """Evacuate a zone, or (``is_evacuated`` false) let it serve again."""
        (self.evacuated.add if is_evacuated else self.evacuated.discard)(zone)
        body = ZonesBody(sorted(self.evacuated))
        self._plan(ZonesCommitted(VersionMark(EPOCH, self._counter + 1), body))
        self._change(ZONES, body)

    def record_stopped(self, replica: "EmulatedReplica") -> None:
        """Keep a stopped replica on the published list for ``ENDED_LISTED_S``."""
        self._ended[replica.replica_id] = (self.world.now, _listed(replica, self.world.now))

    # Topics -------------------------------------------------------------------

    def _every(self, interval_s: float, action) -> None:
        def again() -> None:
            action()
            self.world.scheduler.after(interval_s, again)

        self.world.scheduler.after(interval_s, again)

    def _change(self, topic: str, body: object) -> None:
        self._counter += 1
        event = TopicChanged(topic, VersionMark(EPOCH, self._counter), body)
        self.view_builder.handle(event, self.world.now)
        view = self.view_builder.view
        self.world.scheduler.after(DISTRIBUTION_S, lambda: self._distribute(view))

    def _distribute(self, view: GatewayView) -> None:
        for front in self.world.fronts.values():
            front.deliver(ViewChanged(view))

    def _plan(self, event: object) -> None:
        for effect in self.planner.handle(event, self.world.now):
            if isinstance(effect, fx.Compute):
                result = effect.function(effect.argument)
                done = ev.Computed(effect.ticket, result)
                self.world.scheduler.after(SOLVE_S, lambda done=done: self._plan(done))
            elif isinstance(effect, EmitEvent) and isinstance(effect.event, TopicOffered):
                self._change(PLAN, effect.event.body)

    def _record_list(self) -> None:
        now = self.world.now
        listed = [_listed(replica, now) for replica in self.world.running_replicas()]
        self._ended = {k: v for k, v in self._ended.items() if now - v[0] <= ENDED_LISTED_S}
        listed += [entry for _, entry in self._ended.values()]
        self._history.append((now, listed))
        while len(self._history) > 1 and self._history[1][0] <= now - LIST_LAG_S:
            self._history.pop(0)

    def _read_list(self) -> None:
        listed = sorted(self._history[0][1], key=lambda entry: entry.replica_id)
        facts = tuple((e.replica_id, e.leaving, bool(e.cold_ms)) for e in listed)
        if facts == self._published_list:
            return
        self._published_list = facts
        body = ReplicasBody(listed)
        self._plan(ReplicasListed(body))
        self._change(REPLICAS, body)

    def _publish_members(self) -> None:
        now = self.world.now
        for front in self.world.fronts.values():
            known = self._members.get(front.name)
            if known is None:
                self._members[front.name] = (front.up, 0.0 - START_S)
            elif known[0] != front.up:
                self._members[front.name] = (front.up, now)
        ready = []
        for front in self.world.fronts.values():
            up, since = self._members[front.name]
            is_member = now - since >= START_S if up else now - since < LEASE_S
            if is_member:
                ready.append(front)
        names = tuple(front.name for front in ready)
        if names == self._published_members:
            return
        self._published_members = names
        self._change(MEMBERS, MembersBody([_record(front) for front in ready], []))

    def _report_demand(self) -> None:
        for number, front in enumerate(self.world.fronts.values()):
            if not front.up or not front.demand:
                continue
            taken, front.demand = front.demand, {}
            report = DemandReport(
                node_id=front.name,
                node_incarnation=str(front.generation),
                sequence=self._counter,
                entries=[_entry(place, front, counts) for place, counts in sorted(taken.items())],
                observations=[],
                read_tokens_per_s=front.executor.decision.traffic.prefill_rate.tokens_per_s,
            )
            self._plan(ev.CallArrived(number, front.name, report))


def _entry(place: tuple[str, str], front: "EmulatedFront", counts: list[float]) -> DemandEntry:
    route, service = place
    requests, prompt_tokens, answer_tokens = (count / REPORT_INTERVAL_S for count in counts)
    prompt_tokens *= front.executor.decision.traffic.prefill_share
    region = front.zone.region
    return DemandEntry(route, service, "", region, requests, prompt_tokens, answer_tokens, 0.0)


def _record(front) -> NodeRecord:
    return NodeRecord(
        node_id=front.name,
        role="front",
        zone=front.zone.name,
        region=front.zone.region,
        internal_address=front.address,
        http_address=front.address,
        incarnation=str(front.generation),
        ready=True,
        draining=False,
        configuration=VersionMark(EPOCH, 1),
    )


def _listed(replica: "EmulatedReplica", now: float) -> ListedReplica:
    return ListedReplica(
        replica_id=replica.replica_id,
        address=replica.address,
        kind="gateway",
        backend=replica.service.name,
        region=replica.zone.region,
        zone=replica.zone.name,
        resource=replica.service.name,
        resource_units=1.0,
        leaving=replica.draining,
        slots=replica.service.slots,
        cold_ms=int(max(replica.cold_until - now, 0.0) * 1000),
    )
