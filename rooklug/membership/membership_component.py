"""The core's component that keeps leases and roles, and serves the topics by long poll."""

from collections.abc import Callable, Iterable
from typing import Any

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.membership.configuration_topic import PUBLISH_CONFIGURATION, ConfigurationTopic
from rooklug.membership.lease_service import PUBLISH_EARLY, PUBLISH_MEMBERS, LeaseService
from rooklug.membership.long_poll_registry import PollReply
from rooklug.membership.members_topic import members_body
from rooklug.membership.membership_state import MembershipState
from rooklug.membership.primary_tracker import PrimaryTracker
from rooklug.membership.publications import Publications, PublishRefusal
from rooklug.membership.timing import TICK_S
from rooklug.model import internal_events as internal
from rooklug.model.settings import CoreSettings
from rooklug.model.topics import MEMBERS, PLAN, REPLICAS, ZONES
from rooklug.wire.codec import encode
from rooklug.wire.generated.control import ttypes
from rooklug.wire.packing import encode_packed

_TICK = "tick"
_BODIES_OF_A_TERM = (MEMBERS, REPLICAS, PLAN)


class MembershipComponent(BaseComponent):
    """Answers renewals, polls, publications and reads; acts only as the primary."""

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
        internal.PrimaryKnown,
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
            ttypes.PollRequest: self._poll,
            ttypes.PublishRequest: self._publish,
            ttypes.ReadDecisionsRequest: self._read_decisions,
            ttypes.ReadStatusRequest: self._read_status,
            internal.PrimaryStarted: self._start_term,
            internal.PrimaryLeaseExtended: self._extend_term,
            internal.PrimaryStopped: self._stop_term,
            internal.PrimaryKnown: self._learn_primary,
            internal.ConfigurationCommitted: self._take_configuration,
            internal.ZonesCommitted: self._take_zones,
            internal.CoreStatusChanged: self._take_status,
            internal.TopicOffered: self._take_offer,
            internal.CoresChanged: self._take_cores,
            ev.Computed: self._computed,
        }
        self._timers: dict[str, Callable[[float], list[fx.Effect]]] = {
            _TICK: self._tick,
            PUBLISH_MEMBERS: self.leases.publish_members,
            PUBLISH_EARLY: self.leases.publish_early,
            PUBLISH_CONFIGURATION: self._publish_configuration,
        }

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        if isinstance(event, ev.CallArrived):
            return self._handlers[type(event.request)](event, now)
        if isinstance(event, ev.TimerFired):
            return self._timers[event.name](now)
        handler = self._handlers.get(type(event))
        return handler(event, now) if handler else []

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the sizes of the tables that this core keeps for the nodes."""
        state = self.state
        figures = {
            "rooklug_live_nodes": (len(state.leases), "Nodes with a lease at this core"),
            "rooklug_parked_polls": (len(state.polls), "Long polls that wait at this core"),
            "rooklug_decisions_kept": (len(state.decisions.ring), "Decisions that can be read"),
            "rooklug_acts_as_primary": (int(state.acts(now)), "1: acts as the primary"),
        }
        return [
            MetricSample(name, float(value), "gauge", text)
            for name, (value, text) in figures.items()
        ]

    # Terms -----------------------------------------------------------------------------

    def _start_term(self, event: internal.PrimaryStarted, now: float) -> list[fx.Effect]:
        state = self.state
        if state.primary.is_primary:
            return self._continue_term(event)
        state.primary.start(event)
        state.leases.start(now)
        state.roles.start(event.epoch, now)
        state.members.start()
        state.decisions.start(state.roles.announced_until)
        for topic in _BODIES_OF_A_TERM:
            state.store.forget(topic)
        return [
            fx.StartTimer(_TICK, TICK_S),
            fx.StartTimer(PUBLISH_MEMBERS, state.leases.grace_until - now),
        ]

    def _continue_term(self, event: internal.PrimaryStarted) -> list[fx.Effect]:
        """The same primary leads a new view without interruption: its state stays."""
        self.state.primary.start(event)
        self.state.roles.raise_epoch(event.epoch)
        return []

    def _extend_term(self, event: internal.PrimaryLeaseExtended, now: float) -> list[fx.Effect]:
        lapsed = 0.0 < self.state.primary.until <= now
        self.state.primary.extend(event)
        if not lapsed:
            return []
        # Renewals found no primary meanwhile, so nobody is late.
        self.state.leases.extend_grace(now)
        return self.state.wake(now)

    def _stop_term(self, _event: internal.PrimaryStopped, now: float) -> list[fx.Effect]:
        self.state.primary.stop()
        timers = [fx.CancelTimer(_TICK), fx.CancelTimer(PUBLISH_MEMBERS)]
        return self.state.release_all(now) + timers

    def _learn_primary(self, event: internal.PrimaryKnown, _now: float) -> list[fx.Effect]:
        self.state.primary.learn(event)
        return []

    def _tick(self, now: float) -> list[fx.Effect]:
        state = self.state
        effects: list[fx.Effect] = [fx.StartTimer(_TICK, TICK_S)]
        if not state.acts(now):
            return effects + state.release_all(now)
        effects += self.leases.expire(now)
        effects += state.poll_answers(state.polls.expire(now), now)
        return effects + state.decision_answers(state.decisions.expire(now), now)

    # Topics ----------------------------------------------------------------------------

    def _poll(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        state = self.state
        if not state.acts(now):
            return state.poll_answers([PollReply(event.call_id, [])], now)
        return state.poll_answers(state.polls.poll(event.call_id, event.request, now), now)

    def _take_configuration(
        self, event: internal.ConfigurationCommitted, now: float
    ) -> list[fx.Effect]:
        return [*self.configuration.take(event, now), *self.state.wake(now)]

    def _publish_configuration(self, now: float) -> list[fx.Effect]:
        return [*self.configuration.advance(now), *self.state.wake(now)]

    def _computed(self, event: ev.Computed, now: float) -> list[fx.Effect]:
        return [*self.configuration.computed(event, now), *self.state.wake(now)]

    def _take_zones(self, event: internal.ZonesCommitted, now: float) -> list[fx.Effect]:
        state = self.state
        if state.store.offer(ZONES, event.version, encode(event.body)):
            state.drained_zones = frozenset(event.body.emptied_zones)
        if not state.acts(now):
            return []
        return state.wake(now) + state.move_roles(now)

    def _take_offer(self, event: internal.TopicOffered, now: float) -> list[fx.Effect]:
        """Distribute a topic that a component of this primary has made."""
        state = self.state
        if not state.acts(now):
            return []
        version = ttypes.VersionMark(event.epoch, event.sequence)
        if not state.store.offer(event.topic, version, encode_packed(event.body)):
            return []
        return state.wake(now)

    def _publish(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        state = self.state
        refusal: PublishRefusal | None = PublishRefusal.NOT_PRIMARY
        if state.acts(now):
            refusal = self.publications.publish(event.request, now)
        address = state.primary.address(now)
        if refusal is not None:
            answer = ttypes.PublishAnswer(
                accepted=False, reason=refusal.value, primary_address=address
            )
            return [fx.Answer(event.call_id, answer)]
        accepted = ttypes.PublishAnswer(accepted=True, reason="", primary_address=address)
        replies = state.decisions.append(event.request.decisions, now)
        return [
            fx.Answer(event.call_id, accepted),
            *state.wake(now),
            *state.decision_answers(replies, now),
        ]

    # Reads -----------------------------------------------------------------------------

    def _read_decisions(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        state = self.state
        if not state.acts(now):
            return [state.decisions_refused(event.call_id, now)]
        replies = state.decisions.read(event.call_id, event.request, now)
        return state.decision_answers(replies, now)

    def _read_status(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        state = self.state
        body = ttypes.MembersBody([], [])
        if state.acts(now):
            body = members_body(state.leases, state.roles)
        zones = sorted(state.drained_zones)
        answer = ttypes.ReadStatusAnswer(self._status, body.nodes, body.role_owners, zones)
        return [fx.Answer(event.call_id, answer)]

    def _take_cores(self, event: internal.CoresChanged, now: float) -> list[fx.Effect]:
        state = self.state
        state.members.core_addresses = event.addresses
        if not state.acts(now) or not state.members.published:
            return []
        state.members.dirty = True
        return [fx.StartTimer(PUBLISH_MEMBERS, state.members.delay(now))]

    def _take_status(self, event: internal.CoreStatusChanged, _now: float) -> list[fx.Effect]:
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
