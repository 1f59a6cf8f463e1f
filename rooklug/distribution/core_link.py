"""The component that links a node to the core: lease, roles, topics, and publications.

Validity is counted from the time at which this node sent the renewal, and checked against the
caller's ``now``. A process that was suspended therefore finds its lease and grants expired
before it can act on them.
"""

from collections.abc import Iterable
from typing import Any

from rooklug.distribution.core_finder import CoreFinder
from rooklug.distribution.lease_renewal import LeaseRenewal
from rooklug.distribution.link_events import PublicationQueued, RenewalRequested
from rooklug.distribution.link_log import LinkLog
from rooklug.distribution.link_state import (
    POLL_TIMER,
    PUBLISH_TIMER,
    RENEW_TIMER,
    LinkState,
)
from rooklug.distribution.polling import TopicPolling
from rooklug.distribution.publishing import Publishing
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.model.settings import NodeSettings
from rooklug.model.topics import CONFIGURATION, MEMBERS
from rooklug.wire.generated.control.ttypes import (
    DecisionRecord,
    NodeRecord,
    RoleGrant,
    RoleOwner,
    VersionMark,
)
from rooklug.wire.packing import encode_packed

_FRONT = "front"


class CoreLink(BaseComponent):
    """Renews this node's lease, subscribes to the topics, and publishes under role grants."""

    name = "core-link"
    subscribes_to = (RenewalRequested, PublicationQueued)

    def __init__(self, settings: NodeSettings, context: ProcessContext) -> None:
        finder = CoreFinder(settings.seeds, context.random, starting=True)
        self._state = LinkState(settings, context, finder)
        # A front reports readiness with ``set_ready``; nodes of other roles are ready immediately.
        self._renewal = LeaseRenewal(self._state, ready=settings.role != _FRONT)
        self._polling = TopicPolling(self._state)
        self._publishing = Publishing(self._state)
        self._log = LinkLog(self._state)
        self._now = 0.0

    # State for other components ----------------------------------------------------------

    @property
    def primary_address(self) -> str:
        """The primary's internal address, or "" until a core has answered as the primary."""
        finder = self._state.finder
        return finder.address if finder.confirmed else ""

    @property
    def connected(self) -> bool:
        """Whether the lease was valid at the last event; ``has_valid_lease`` takes a time."""
        return self._state.lease.valid(self._now)

    def has_valid_lease(self, now: float) -> bool:
        """Return whether this node's lease is valid at ``now``, in its monotonic seconds."""
        return self._state.lease.valid(now)

    def version(self, topic: str) -> VersionMark:
        """Return the version of the stored body of a topic, or the zero version without one."""
        return self._state.topics.version(topic)

    def body(self, topic: str) -> Any | None:
        """Return the stored, decoded body of a topic, or None without one."""
        return self._state.topics.body(topic)

    def grant(self, role_key: str, now: float) -> RoleGrant | None:
        """Return the grant of a role if it is valid at ``now``, else None."""
        return self._state.lease.grant(role_key, now)

    def grant_until(self, role_key: str, now: float) -> float:
        """Return the monotonic end of a role's grant, for ``not_after``; 0.0 if none is valid."""
        return self._state.lease.grant_until(role_key, now)

    def members(self) -> list[NodeRecord]:
        """Return the live nodes of the stored members topic; empty without one."""
        body = self.body(MEMBERS)
        return list(body.nodes) if body else []

    def role_owner(self, role_key: str) -> RoleOwner | None:
        """Return the owner of a role by the stored members topic, or None."""
        body = self.body(MEMBERS)
        owners = body.role_owners if body else []
        return next((owner for owner in owners if owner.role_key == role_key), None)

    # Requests of other components --------------------------------------------------------

    def set_ready(self, ready: bool) -> list[fx.Effect]:  # noqa: FBT001 - a setter
        """Set whether this node is ready to serve.

        The next renewal reports it. The caller should emit the returned effects, which send
        that renewal immediately.
        """
        changed = ready != self._renewal.ready
        self._renewal.ready = ready
        return [EmitEvent(RenewalRequested())] if changed else []

    def set_draining(self, draining: bool) -> list[fx.Effect]:  # noqa: FBT001 - a setter
        """Set whether this node is draining; the effects are those of ``set_ready``."""
        changed = draining != self._renewal.draining
        self._renewal.draining = draining
        return [EmitEvent(RenewalRequested())] if changed else []

    def publish(
        self, topic: str, role_key: str, body: Any, decisions: list[DecisionRecord], now: float
    ) -> list[fx.Effect]:
        """Publish a full topic body under the grant of ``role_key``, if it is valid at ``now``.

        The publication is sent until the primary accepts it, a newer one replaces it, or the
        grant ends. The caller must emit the effects. Decisions that don't have a token and
        sequence of this grant yet get them here.
        """
        grant = self.grant(role_key, now)
        if grant is None:
            return [
                fx.Log("warning", "publication dropped: no valid grant", {"role_key": role_key})
            ]
        self._publishing.outbox.put(topic, grant, encode_packed(body), decisions)
        return [EmitEvent(PublicationQueued())]

    def published_sequence(self, topic: str) -> int:
        """Return the sequence of this node's latest publication of a topic, or 0.

        Sequences count from 1 under each fencing token.
        """
        return self._publishing.outbox.published_sequence(topic)

    def accepted_sequence(self, topic: str) -> int:
        """Return the highest ``published_sequence`` that a primary has accepted, or 0."""
        return self._publishing.outbox.accepted_sequence(topic)

    # Events ------------------------------------------------------------------------------

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Handle one event, after dropping the grants that have expired by ``now``."""
        self._now = now
        effects = [*self._renewal.expire_grants(now), *self._dispatch(event, now)]
        return [*effects, *self._log.changes(now)]

    def _dispatch(self, event: ev.Event, now: float) -> list[fx.Effect]:
        if isinstance(event, ev.Started):
            delay_s = self._state.jittered_delay_s()
            return [fx.StartTimer(RENEW_TIMER, delay_s), fx.StartTimer(POLL_TIMER, delay_s)]
        if isinstance(event, ev.StopRequested):
            return self._on_stop_requested(now)
        if isinstance(event, ev.TimerFired):
            return self._on_timer(event.name, now)
        if isinstance(event, ev.CallAnswered | ev.CallFailed):
            return self._on_call_completed(event, now)
        if isinstance(event, ev.Computed):
            return self._polling.handle_computed(event, now)
        if isinstance(event, RenewalRequested):
            return [] if self._state.stopping else self._renewal.renew(now)
        if isinstance(event, PublicationQueued):
            return self._publishing.send(now)
        return []

    def _on_stop_requested(self, now: float) -> list[fx.Effect]:
        """Release the lease. Polling continues: requests in flight need current topics."""
        if self._state.stopping:
            return []
        self._state.stopping = True
        return [fx.CancelTimer(PUBLISH_TIMER), *self._renewal.release(now)]

    def _on_timer(self, name: str, now: float) -> list[fx.Effect]:
        if name == RENEW_TIMER:
            return self._renewal.renew(now)
        if name == POLL_TIMER:
            return self._polling.poll(now)
        if name == PUBLISH_TIMER:
            return self._publishing.send(now)
        return self._renewal.schedule_grant_expiry(now)

    def _on_call_completed(
        self, event: ev.CallAnswered | ev.CallFailed, now: float
    ) -> list[fx.Effect]:
        if self._renewal.owns(event.call_id):
            return self._on_renewal_completed(event, now)
        if self._polling.owns(event.call_id):
            return self._on_poll_completed(event, now)
        if not self._publishing.owns(event.call_id):
            return []
        if isinstance(event, ev.CallFailed):
            return self._publishing.handle_failure(event.call_id)
        return self._publishing.handle_answer(event.call_id, event.answer, now)

    def _on_renewal_completed(
        self, event: ev.CallAnswered | ev.CallFailed, now: float
    ) -> list[fx.Effect]:
        if isinstance(event, ev.CallFailed):
            return [*self._renewal.handle_failure(), *self._polling.switch_core(now)]
        effects = self._renewal.handle_answer(event.answer, now)
        effects += self._polling.switch_core(now)
        effects += self._polling.poll_if_behind(event.answer.newest, now)
        return effects + self._publishing.send(now)

    def _on_poll_completed(
        self, event: ev.CallAnswered | ev.CallFailed, now: float
    ) -> list[fx.Effect]:
        called = self._state.finder.address
        if isinstance(event, ev.CallFailed):
            effects = self._polling.handle_failure()
        else:
            effects = self._polling.handle_answer(event.answer, now)
        moved = self._state.finder.address != called
        return effects + self._renewal.switch_core() if moved else effects

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return samples of the lease, its epoch, the role grants and the configuration version."""
        lease = self._state.lease
        figures = {
            "rooklug_core_lease_valid": (int(lease.valid(now)), "1: the lease is valid"),
            "rooklug_core_epoch": (lease.epoch, "Highest epoch that answered"),
            "rooklug_roles_held": (len(lease.grants(now)), "Valid role grants"),
            "rooklug_configuration_version": (
                self.version(CONFIGURATION).counter,
                "Configuration version held",
            ),
        }
        return [
            MetricSample(name, float(value), "gauge", text)
            for name, (value, text) in figures.items()
        ]
