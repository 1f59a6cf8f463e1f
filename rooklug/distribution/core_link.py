"""A node's link to the core: its lease, its roles, its topics, and its publications.

Validity is always counted from this node's own sends and checked against the ``now`` of the
caller, so a process that was frozen finds its lease and grants over before it acts.
"""

from collections.abc import Iterable
from typing import Any

from rooklug.distribution.core_finder import CoreFinder
from rooklug.distribution.lease_renewal import LeaseRenewal
from rooklug.distribution.link_events import PublicationQueued, RenewSoon
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
    """Renews this node's lease, follows the topics, and publishes under grants."""

    name = "core-link"
    subscribes_to = (RenewSoon, PublicationQueued)

    def __init__(self, settings: NodeSettings, context: ProcessContext) -> None:
        finder = CoreFinder(settings.seeds, context.random, starting=True)
        self._state = LinkState(settings, context, finder)
        # A front is ready once it serves; other roles are at once.
        self._renewing = LeaseRenewal(self._state, ready=settings.role != _FRONT)
        self._polling = TopicPolling(self._state)
        self._publishing = Publishing(self._state)
        self._now = 0.0

    # What others read --------------------------------------------------------------------

    @property
    def primary_address(self) -> str:
        """Return the primary's internal address, or "" while none has answered."""
        finder = self._state.finder
        return finder.address if finder.confirmed else ""

    @property
    def connected(self) -> bool:
        """Whether the lease was valid at this component's last event; see ``connected_at``."""
        return self._state.lease.valid(self._now)

    def connected_at(self, now: float) -> bool:
        """Return whether the node's lease is valid at ``now`` by its own clock."""
        return self._state.lease.valid(now)

    def version(self, topic: str) -> VersionMark:
        """Return the version of the body that this node has of a topic, or the zero version."""
        return self._state.topics.version(topic)

    def body(self, topic: str) -> Any | None:
        """Return the decoded body that this node has of a topic, or None."""
        return self._state.topics.body(topic)

    def grant(self, role_key: str, now: float) -> RoleGrant | None:
        """Return the grant of a role, only while it is valid by this node's clock."""
        return self._state.lease.grant(role_key, now)

    def grant_until(self, role_key: str, now: float) -> float:
        """Return when the grant of a role ends, for ``not_after``; 0.0 without one."""
        return self._state.lease.grant_until(role_key, now)

    def members(self) -> list[NodeRecord]:
        """Return the live nodes as far as known."""
        body = self.body(MEMBERS)
        return list(body.nodes) if body else []

    def role_owner(self, role_key: str) -> RoleOwner | None:
        """Return the owner of a role as far as known."""
        body = self.body(MEMBERS)
        owners = body.role_owners if body else []
        return next((owner for owner in owners if owner.role_key == role_key), None)

    # What others request -----------------------------------------------------------------

    def set_ready(self, ready: bool) -> list[fx.Effect]:  # noqa: FBT001 - a setter
        """Say whether this node serves.

        The next renewal carries it; the effects, if the caller emits them, send one at once.
        """
        changed = ready != self._renewing.ready
        self._renewing.ready = ready
        return [EmitEvent(RenewSoon())] if changed else []

    def set_draining(self, draining: bool) -> list[fx.Effect]:  # noqa: FBT001 - a setter
        """Say whether this node is draining; the effects are as those of ``set_ready``."""
        changed = draining != self._renewing.draining
        self._renewing.draining = draining
        return [EmitEvent(RenewSoon())] if changed else []

    def publish(
        self, topic: str, role_key: str, body: Any, decisions: list[DecisionRecord], now: float
    ) -> list[fx.Effect]:
        """Publish a complete topic under the grant of ``role_key``; nothing without a valid one.

        It is sent until the primary has it, a newer one replaces it, or the grant ends. The
        caller must emit the effects. Decisions without a token and sequence of this grant
        get them here.
        """
        grant = self.grant(role_key, now)
        if grant is None:
            return [
                fx.Log("warning", "publication dropped: no valid grant", {"role_key": role_key})
            ]
        self._publishing.outbox.put(topic, grant, encode_packed(body), decisions)
        return [EmitEvent(PublicationQueued())]

    def published_sequence(self, topic: str) -> int:
        """Return the sequence of what this node published of a topic last; 0: nothing.

        It counts from 1 under each token.
        """
        return self._publishing.outbox.published_sequence(topic)

    def accepted_sequence(self, topic: str) -> int:
        """Return the highest ``published_sequence`` that a primary has accepted; 0: none."""
        return self._publishing.outbox.accepted_sequence(topic)

    # Events ------------------------------------------------------------------------------

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event; expired grants are dropped before anything else."""
        self._now = now
        return [*self._renewing.expire_grants(now), *self._dispatch(event, now)]

    def _dispatch(self, event: ev.Event, now: float) -> list[fx.Effect]:
        if isinstance(event, ev.Started):
            delay_s = self._state.jittered_delay_s()
            return [fx.StartTimer(RENEW_TIMER, delay_s), fx.StartTimer(POLL_TIMER, delay_s)]
        if isinstance(event, ev.StopRequested):
            return self._leave(now)
        if isinstance(event, ev.TimerFired):
            return self._on_timer(event.name, now)
        if isinstance(event, ev.CallAnswered | ev.CallFailed):
            return self._on_call_end(event, now)
        if isinstance(event, ev.Computed):
            return self._polling.computed(event, now)
        if isinstance(event, RenewSoon):
            return [] if self._state.stopping else self._renewing.renew(now)
        if isinstance(event, PublicationQueued):
            return self._publishing.send(now)
        return []

    def _leave(self, now: float) -> list[fx.Effect]:
        """Release the lease. Polls go on: requests that still run need fresh topics."""
        if self._state.stopping:
            return []
        self._state.stopping = True
        return [fx.CancelTimer(PUBLISH_TIMER), *self._renewing.leave(now)]

    def _on_timer(self, name: str, now: float) -> list[fx.Effect]:
        if name == RENEW_TIMER:
            return self._renewing.renew(now)
        if name == POLL_TIMER:
            return self._polling.poll(now)
        if name == PUBLISH_TIMER:
            return self._publishing.send(now)
        return self._renewing.watch_grants(now)

    def _on_call_end(self, event: ev.CallAnswered | ev.CallFailed, now: float) -> list[fx.Effect]:
        if self._renewing.owns(event.call_id):
            return self._on_renewal_end(event, now)
        if self._polling.owns(event.call_id):
            return self._on_poll_end(event, now)
        if not self._publishing.owns(event.call_id):
            return []
        if isinstance(event, ev.CallFailed):
            return self._publishing.failed(event.call_id)
        return self._publishing.answered(event.call_id, event.answer, now)

    def _on_renewal_end(
        self, event: ev.CallAnswered | ev.CallFailed, now: float
    ) -> list[fx.Effect]:
        if isinstance(event, ev.CallFailed):
            return [*self._renewing.failed(), *self._polling.follow(now)]
        effects = self._renewing.answered(event.answer, now)
        effects += self._polling.follow(now)
        effects += self._polling.poll_if_behind(event.answer.newest, now)
        return effects + self._publishing.send(now)

    def _on_poll_end(self, event: ev.CallAnswered | ev.CallFailed, now: float) -> list[fx.Effect]:
        called = self._state.finder.address
        if isinstance(event, ev.CallFailed):
            effects = self._polling.failed()
        else:
            effects = self._polling.answered(event.answer, now)
        moved = self._state.finder.address != called
        return effects + self._renewing.follow() if moved else effects

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the metric samples of this node's link."""
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
