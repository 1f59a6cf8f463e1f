"""The core's part that keeps leases and roles, and serves the topics by long poll."""

from collections.abc import Iterable

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.membership.configuration_topic import PUBLISH_CONFIGURATION, ConfigurationTopic
from rooklug.membership.core_view import CoreView
from rooklug.membership.hub import PollReply
from rooklug.membership.lease_service import PUBLISH_EARLY, PUBLISH_MEMBERS, LeaseService
from rooklug.membership.members_topic import members_body
from rooklug.membership.primacy import Primacy
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
        self.view = CoreView(Primacy(settings.node.internal_address))
        self.leases = LeaseService(self.view)
        self.configuration = ConfigurationTopic(self.view.store, context.identifiers)
        self.publications = Publications(self.view.store, self.view.roles)
        self._status = _status_before_any_news(context.node_id)
        self._handlers = {
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
        self._timers = {
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
        """Return the sizes of what this core keeps for the nodes."""
        view = self.view
        figures = {
            "rooklug_live_nodes": (len(view.leases), "Nodes with a lease at this core"),
            "rooklug_parked_polls": (len(view.hub), "Long polls that wait at this core"),
            "rooklug_decisions_kept": (len(view.decisions.ring), "Decisions that can be read"),
            "rooklug_acts_as_primary": (int(view.acts(now)), "1: acts as the primary"),
        }
        return [
            MetricSample(name, float(value), "gauge", text)
            for name, (value, text) in figures.items()
        ]

    # Terms -----------------------------------------------------------------------------

    def _start_term(self, event: internal.PrimaryStarted, now: float) -> list[fx.Effect]:
        view = self.view
        if view.primacy.is_primary:
            return self._continue_term(event)
        view.primacy.start(event)
        view.leases.start(now)
        view.roles.start(event.epoch, now)
        view.members.start()
        view.decisions.start(view.roles.announced_until)
        for topic in _BODIES_OF_A_TERM:
            view.store.forget(topic)
        return [
            fx.StartTimer(_TICK, TICK_S),
            fx.StartTimer(PUBLISH_MEMBERS, view.leases.grace_until - now),
        ]

    def _continue_term(self, event: internal.PrimaryStarted) -> list[fx.Effect]:
        """A new view of the same primary, without a pause: nothing is lost."""
        self.view.primacy.start(event)
        self.view.roles.raise_epoch(event.epoch)
        return []

    def _extend_term(self, event: internal.PrimaryLeaseExtended, now: float) -> list[fx.Effect]:
        lapsed = 0.0 < self.view.primacy.until <= now
        self.view.primacy.extend(event)
        if not lapsed:
            return []
        # Renewals found no primary meanwhile, so nobody is late.
        self.view.leases.extend_grace(now)
        return self.view.wake(now)

    def _stop_term(self, _notice: internal.PrimaryStopped, now: float) -> list[fx.Effect]:
        self.view.primacy.stop()
        timers = [fx.CancelTimer(_TICK), fx.CancelTimer(PUBLISH_MEMBERS)]
        return self.view.release_all(now) + timers

    def _learn_primary(self, event: internal.PrimaryKnown, _now: float) -> list[fx.Effect]:
        self.view.primacy.learn(event)
        return []

    def _tick(self, now: float) -> list[fx.Effect]:
        view = self.view
        effects: list[fx.Effect] = [fx.StartTimer(_TICK, TICK_S)]
        if not view.acts(now):
            return effects + view.release_all(now)
        effects += self.leases.expire(now)
        effects += view.poll_answers(view.hub.expire(now), now)
        return effects + view.decision_answers(view.decisions.expire(now), now)

    # Topics ----------------------------------------------------------------------------

    def _poll(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        view = self.view
        if not view.acts(now):
            return view.poll_answers([PollReply(event.call_id, [])], now)
        return view.poll_answers(view.hub.poll(event.call_id, event.request, now), now)

    def _take_configuration(
        self, event: internal.ConfigurationCommitted, now: float
    ) -> list[fx.Effect]:
        return [*self.configuration.take(event, now), *self.view.wake(now)]

    def _publish_configuration(self, now: float) -> list[fx.Effect]:
        return [*self.configuration.advance(now), *self.view.wake(now)]

    def _computed(self, event: ev.Computed, now: float) -> list[fx.Effect]:
        return [*self.configuration.computed(event, now), *self.view.wake(now)]

    def _take_zones(self, event: internal.ZonesCommitted, now: float) -> list[fx.Effect]:
        view = self.view
        if view.store.offer(ZONES, event.version, encode(event.body)):
            view.drained_zones = frozenset(event.body.emptied_zones)
        if not view.acts(now):
            return []
        return view.wake(now) + view.move_roles(now)

    def _take_offer(self, event: internal.TopicOffered, now: float) -> list[fx.Effect]:
        """Distribute what a part of this primary has made."""
        view = self.view
        if not view.acts(now):
            return []
        version = ttypes.VersionMark(event.epoch, event.sequence)
        if not view.store.offer(event.topic, version, encode_packed(event.body)):
            return []
        return view.wake(now)

    def _publish(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        view = self.view
        refusal = PublishRefusal.NOT_PRIMARY
        if view.acts(now):
            refusal = self.publications.publish(event.request, now)
        address = view.primacy.address(now)
        if refusal is not None:
            answer = ttypes.PublishAnswer(False, refusal.value, address)
            return [fx.Answer(event.call_id, answer)]
        replies = view.decisions.append(event.request.decisions, now)
        return [
            fx.Answer(event.call_id, ttypes.PublishAnswer(True, "", address)),
            *view.wake(now),
            *view.decision_answers(replies, now),
        ]

    # Reads -----------------------------------------------------------------------------

    def _read_decisions(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        view = self.view
        if not view.acts(now):
            return [view.decisions_refused(event.call_id, now)]
        replies = view.decisions.read(event.call_id, event.request, now)
        return view.decision_answers(replies, now)

    def _read_status(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        view = self.view
        body = ttypes.MembersBody([], [])
        if view.acts(now):
            body = members_body(view.leases, view.roles)
        zones = sorted(view.drained_zones)
        answer = ttypes.ReadStatusAnswer(self._status, body.nodes, body.role_owners, zones)
        return [fx.Answer(event.call_id, answer)]

    def _take_cores(self, event: internal.CoresChanged, now: float) -> list[fx.Effect]:
        view = self.view
        view.members.core_addresses = event.addresses
        if not view.acts(now) or not view.members.published:
            return []
        view.members.dirty = True
        return [fx.StartTimer(PUBLISH_MEMBERS, view.members.delay(now))]

    def _take_status(self, event: internal.CoreStatusChanged, _now: float) -> list[fx.Effect]:
        self._status = event.status
        return []


def _status_before_any_news(node_id: str) -> ttypes.CoreStatus:
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
