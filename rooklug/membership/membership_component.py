"""The core's component for leases, role grants, and topic distribution by long poll."""

from collections.abc import Callable, Iterable
from typing import Any

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.membership.configuration_topic import PUBLISH_CONFIGURATION_TIMER, ConfigurationTopic
from rooklug.membership.lease_service import (
    PUBLISH_MEMBERS_TIMER,
    PUBLISH_PROVISIONAL_MEMBERS_TIMER,
    LeaseService,
)
from rooklug.membership.long_poll_registry import PollReply
from rooklug.membership.members_topic import members_body
from rooklug.membership.membership_state import MembershipState
from rooklug.membership.primary_tracker import PrimaryTracker
from rooklug.membership.propagation import WATCHED_TOPICS
from rooklug.membership.publications import Publications, PublishRejection
from rooklug.membership.timing import TICK_S
from rooklug.model import internal_events as internal
from rooklug.model.settings import CoreSettings
from rooklug.model.topics import CONFIGURATION, MEMBERS, PLAN, REPLICAS, ZONES
from rooklug.wire.codec import encode
from rooklug.wire.generated.control import ttypes
from rooklug.wire.packing import encode_packed

_TICK_TIMER = "tick"
_BODIES_OF_A_TERM = (MEMBERS, REPLICAS, PLAN)
"""Topics whose bodies a new primary drops: they are rebuilt, or published again by owners."""


class MembershipComponent(BaseComponent):
    """Dispatches requests, timers and replication events to the services of membership.

    Unless this core is the active primary, requests other than status reads are answered with
    the primary's address only.
    """

    name = "membership"
    call_types = (
        ttypes.RenewLeaseRequest,
        ttypes.PollRequest,
        ttypes.PublishRequest,
        ttypes.ReadDecisionsRequest,
        ttypes.ReadStatusRequest,
    )
    subscribes_to = (
        internal.PrimaryStarted,
        internal.PrimaryLeaseExtended,
        internal.PrimaryStopped,
        internal.PrimaryChanged,
        internal.ConfigurationCommitted,
        internal.ZonesCommitted,
        internal.CoreStatusChanged,
        internal.TopicOffered,
        internal.CoresChanged,
    )

    def __init__(self, settings: CoreSettings, context: ProcessContext) -> None:
        self.state = MembershipState(PrimaryTracker(settings.node.internal_address))
        self.leases = LeaseService(self.state)
        self.configuration = ConfigurationTopic(self.state.store, context.identifiers)
        self.publications = Publications(self.state.store, self.state.roles)
        self._status = _initial_status(context.node_id)
        self._handlers: dict[type, Callable[[Any, float], list[fx.Effect]]] = {
            ttypes.RenewLeaseRequest: self.leases.renew,
            ttypes.PollRequest: self._handle_poll,
            ttypes.PublishRequest: self._handle_publish,
            ttypes.ReadDecisionsRequest: self._handle_read_decisions,
            ttypes.ReadStatusRequest: self._handle_read_status,
            internal.PrimaryStarted: self._on_primary_started,
            internal.PrimaryLeaseExtended: self._on_primary_lease_extended,
            internal.PrimaryStopped: self._on_primary_stopped,
            internal.PrimaryChanged: self._on_primary_changed,
            internal.ConfigurationCommitted: self._on_configuration_committed,
            internal.ZonesCommitted: self._on_zones_committed,
            internal.CoreStatusChanged: self._on_core_status_changed,
            internal.TopicOffered: self._on_topic_offered,
            internal.CoresChanged: self._on_cores_changed,
            ev.Computed: self._on_computed,
        }
        self._timers: dict[str, Callable[[float], list[fx.Effect]]] = {
            _TICK_TIMER: self._tick,
            PUBLISH_MEMBERS_TIMER: self.leases.publish_members,
            PUBLISH_PROVISIONAL_MEMBERS_TIMER: self.leases.publish_provisional,
            PUBLISH_CONFIGURATION_TIMER: self._publish_configuration,
        }

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Handle one event; events without a handler are ignored."""
        if isinstance(event, ev.CallArrived):
            return self._handlers[type(event.request)](event, now)
        if isinstance(event, ev.TimerFired):
            return self._timers[event.name](now)
        handler = self._handlers.get(type(event))
        return handler(event, now) if handler else []

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the sizes of the tables, and whether this core is the active primary."""
        state = self.state
        figures = {
            "rooklug_live_nodes": (len(state.leases), "Nodes with a lease at this core"),
            "rooklug_parked_polls": (len(state.polls), "Long polls that wait at this core"),
            "rooklug_nodes_behind": (
                self._count_nodes_behind(now),
                "Live nodes that haven't confirmed the newest configuration or drained zones",
            ),
            "rooklug_decisions_kept": (len(state.decisions.ring), "Decisions that can be read"),
            "rooklug_acts_as_primary": (
                int(state.is_active_primary(now)),
                "1: acts as the primary",
            ),
        }
        return [
            MetricSample(name, float(value), "gauge", text)
            for name, (value, text) in figures.items()
        ]

    def _count_nodes_behind(self, now: float) -> int:
        state = self.state
        if not state.is_active_primary(now):
            return 0
        live = state.live_node_ids()
        behind = [state.propagation.behind(topic, live, now) for topic in WATCHED_TOPICS]
        return len(set().union(*behind))

    # Terms as the primary --------------------------------------------------------------

    def _on_primary_started(self, event: internal.PrimaryStarted, now: float) -> list[fx.Effect]:
        state = self.state
        if state.primary.is_primary:
            return self._continue_term(event)
        state.primary.start(event)
        state.leases.start(now)
        state.roles.start(event.epoch, now)
        state.members.start()
        state.propagation.start(now)
        state.decisions.start(state.roles.announcement_deadline)
        for topic in _BODIES_OF_A_TERM:
            state.store.forget(topic)
        return [
            fx.StartTimer(_TICK_TIMER, TICK_S),
            fx.StartTimer(PUBLISH_MEMBERS_TIMER, state.leases.grace_until - now),
        ]

    def _continue_term(self, event: internal.PrimaryStarted) -> list[fx.Effect]:
        """Continue as the primary in a new view: leases, roles and bodies stay valid."""
        self.state.primary.start(event)
        self.state.roles.raise_epoch(event.epoch)
        return []

    def _on_primary_lease_extended(
        self, event: internal.PrimaryLeaseExtended, now: float
    ) -> list[fx.Effect]:
        lapsed = 0.0 < self.state.primary.lease_expires_at <= now
        self.state.primary.extend(event)
        if not lapsed:
            return []
        # Renewals were rejected while the primary's lease had lapsed: no node missed its own.
        self.state.leases.extend_grace(now)
        return self.state.wake(now)

    def _on_primary_stopped(self, _event: internal.PrimaryStopped, now: float) -> list[fx.Effect]:
        self.state.primary.stop()
        timers = [fx.CancelTimer(_TICK_TIMER), fx.CancelTimer(PUBLISH_MEMBERS_TIMER)]
        return self.state.release_all(now) + timers

    def _on_primary_changed(self, event: internal.PrimaryChanged, _now: float) -> list[fx.Effect]:
        self.state.primary.record_primary(event)
        return []

    def _tick(self, now: float) -> list[fx.Effect]:
        state = self.state
        effects: list[fx.Effect] = [fx.StartTimer(_TICK_TIMER, TICK_S)]
        if not state.is_active_primary(now):
            return effects + state.release_all(now)
        effects += self.leases.expire(now)
        effects += state.propagation.check(state.live_node_ids(), now)
        effects += state.poll_answers(state.polls.expire(now), now)
        return effects + state.decision_answers(state.decisions.expire(now), now)

    # Topics ----------------------------------------------------------------------------

    def _handle_poll(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        state = self.state
        if not state.is_active_primary(now):
            return state.poll_answers([PollReply(event.call_id, [])], now)
        state.propagation.record_poll(event.request.node_id, event.request.held)
        return state.poll_answers(state.polls.poll(event.call_id, event.request, now), now)

    def _on_configuration_committed(
        self, event: internal.ConfigurationCommitted, now: float
    ) -> list[fx.Effect]:
        self.state.propagation.record_version(CONFIGURATION, event.version, now)
        log = self._log_committed("configuration committed", event.version, now)
        return [*log, *self.configuration.record_committed(event, now), *self.state.wake(now)]

    def _publish_configuration(self, now: float) -> list[fx.Effect]:
        return [*self.configuration.publish_pending(now), *self.state.wake(now)]

    def _on_computed(self, event: ev.Computed, now: float) -> list[fx.Effect]:
        return [*self.configuration.handle_computed(event, now), *self.state.wake(now)]

    def _on_zones_committed(self, event: internal.ZonesCommitted, now: float) -> list[fx.Effect]:
        state = self.state
        if state.store.offer(ZONES, event.version, encode(event.body)):
            state.drained_zones = frozenset(event.body.emptied_zones)
        state.propagation.record_version(ZONES, event.version, now)
        if not state.is_active_primary(now):
            return []
        zones = sorted(state.drained_zones)
        log = self._log_committed("drained zones committed", event.version, now, zones=zones)
        return log + state.wake(now) + state.reassign_roles(now)

    def _log_committed(
        self, message: str, version: ttypes.VersionMark, now: float, **fields: Any
    ) -> list[fx.Effect]:
        """Return the log line of a commit at the active primary; backups don't log it."""
        if not self.state.is_active_primary(now):
            return []
        fields |= {"epoch": version.epoch, "counter": version.counter}
        return [fx.Log("info", message, fields)]

    def _on_topic_offered(self, event: internal.TopicOffered, now: float) -> list[fx.Effect]:
        """Store and distribute a body that another component of this core has built."""
        state = self.state
        if not state.is_active_primary(now):
            return []
        version = ttypes.VersionMark(event.epoch, event.sequence)
        if not state.store.offer(event.topic, version, encode_packed(event.body)):
            return []
        return state.wake(now)

    def _handle_publish(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        state = self.state
        rejection: PublishRejection | None = PublishRejection.NOT_PRIMARY
        if state.is_active_primary(now):
            rejection = self.publications.publish(event.request, now)
        address = state.primary.address(now)
        if rejection is not None:
            answer = ttypes.PublishAnswer(
                accepted=False, reason=rejection.value, primary_address=address
            )
            return [fx.Answer(event.call_id, answer)]
        accepted = ttypes.PublishAnswer(accepted=True, reason="", primary_address=address)
        replies = state.decisions.append(event.request.decisions, now)
        return [
            fx.Answer(event.call_id, accepted),
            *state.wake(now),
            *state.decision_answers(replies, now),
        ]

    # Reads and status ------------------------------------------------------------------

    def _handle_read_decisions(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        state = self.state
        if not state.is_active_primary(now):
            return [state.decisions_rejection(event.call_id, now)]
        replies = state.decisions.read(event.call_id, event.request, now)
        return state.decision_answers(replies, now)

    def _handle_read_status(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        state = self.state
        body = ttypes.MembersBody([], [])
        if state.is_active_primary(now):
            body = members_body(state.leases, state.roles)
        zones = sorted(state.drained_zones)
        answer = ttypes.ReadStatusAnswer(self._status, body.nodes, body.role_owners, zones)
        return [fx.Answer(event.call_id, answer)]

    def _on_cores_changed(self, event: internal.CoresChanged, now: float) -> list[fx.Effect]:
        state = self.state
        state.members.core_addresses = event.addresses
        if not state.is_active_primary(now) or not state.members.published:
            return []
        state.members.dirty = True
        return [fx.StartTimer(PUBLISH_MEMBERS_TIMER, state.members.delay_s(now))]

    def _on_core_status_changed(
        self, event: internal.CoreStatusChanged, _now: float
    ) -> list[fx.Effect]:
        self._status = event.status
        return []


def _initial_status(node_id: str) -> ttypes.CoreStatus:
    return ttypes.CoreStatus(
        node_id=node_id,
        phase="joining",
        epoch=0,
        primary_id="",
        in_sync=[],
        committed_sequence=0,
        configuration_version=0,
        note="replication has not started",
    )
