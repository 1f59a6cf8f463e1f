"""Answers lease renewals, and publishes the resulting changes of the members topic."""

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.membership.leases import RenewalOutcome, identity_of
from rooklug.membership.membership_state import MembershipState
from rooklug.membership.timing import MEMBERS_BATCH_S, TICK_S
from rooklug.model.constants import NODE_LEASE_S
from rooklug.model.internal_events import EarlierPrimaryReported, GroupStartReported
from rooklug.wire.generated.control.ttypes import RenewLeaseRequest

PUBLISH_MEMBERS_TIMER = "publish-members"
PUBLISH_PROVISIONAL_MEMBERS_TIMER = "publish-early-members"
_LEASE_MS = int(NODE_LEASE_S * 1000)


@attrs.define
class LeaseService:
    """Serves renewals and lease expiry; does so only while this core is the active primary."""

    state: MembershipState
    _provisional_scheduled: bool = False

    def renew(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        """Answer a renewal with the complete set of role grants of the node."""
        state, request = self.state, event.request
        if not state.is_active_primary(now):
            return [
                fx.Answer(event.call_id, state.renewal_rejection(now)),
                *_report_of_the_past(request),
            ]
        if request.leaving:
            return self._leave(event.call_id, request, now)
        outcome = state.leases.renew(request, now)
        if outcome is RenewalOutcome.STALE:
            return [fx.Answer(event.call_id, state.renewal_rejection(now))]
        state.roles.apply_renewal(request, now)
        if outcome is RenewalOutcome.CHANGED:
            state.roles.plan(state.leases.live_nodes(), state.drained_zones, now)
        grants, owners_changed = state.roles.renew_grants(request, now)
        answer = state.renewal_grant(_LEASE_MS, grants, now)
        effects: list[fx.Effect] = [fx.Answer(event.call_id, answer)]
        if outcome is RenewalOutcome.CHANGED or owners_changed:
            effects += self.schedule_members_publication(now)
        return effects + state.request_renewal(now)

    def _leave(self, call_id: int, request: RenewLeaseRequest, now: float) -> list[fx.Effect]:
        state = self.state
        state.roles.apply_leave(request, now)
        state.leases.leave(identity_of(request.node))
        answer = state.renewal_grant(0, [], now)
        effects = [fx.Answer(call_id, answer), *state.reassign_roles(now)]
        return effects + self.schedule_members_publication(now)

    def expire(self, now: float) -> list[fx.Effect]:
        """Remove the nodes whose leases have expired, and reassign their roles."""
        expired = self.state.leases.expire(now)
        effects = self.state.reassign_roles(now)
        if not expired:
            return effects
        fields = {"nodes": [record.node_id for record in expired]}
        log = fx.Log("warning", "leases expired without renewal; nodes removed", fields)
        return [*effects, log, *self.schedule_members_publication(now)]

    def schedule_members_publication(self, now: float) -> list[fx.Effect]:
        """Schedule a publication of the members topic, unless one is scheduled already."""
        members = self.state.members
        if not members.published:
            return self._schedule_provisional()
        if members.dirty:
            return []
        members.dirty = True
        return [fx.StartTimer(PUBLISH_MEMBERS_TIMER, members.delay_s(now))]

    def _schedule_provisional(self) -> list[fx.Effect]:
        if self._provisional_scheduled:
            return []
        self._provisional_scheduled = True
        return [fx.StartTimer(PUBLISH_PROVISIONAL_MEMBERS_TIMER, MEMBERS_BATCH_S)]

    def publish_provisional(self, now: float) -> list[fx.Effect]:
        """Publish a provisional members body before a term's first complete one."""
        self._provisional_scheduled = False
        state = self.state
        if not state.is_active_primary(now) or state.members.published:
            return []
        state.members.publish_provisional(state.store, state.leases, state.roles)
        return state.wake(now)

    def publish_members(self, now: float) -> list[fx.Effect]:
        """Publish the members topic if any of its published fields has changed.

        A primary whose lease has lapsed tries again at the next tick.
        """
        state = self.state
        if not state.is_active_primary(now):
            retry = fx.StartTimer(PUBLISH_MEMBERS_TIMER, TICK_S)
            return [retry] if state.primary.is_primary else []
        pending_polls = len(state.polls)
        published = state.members.publish(
            state.store, state.leases, state.roles, pending_polls, now
        )
        return state.wake(now) if published else []


def _report_of_the_past(request: RenewLeaseRequest) -> list[fx.Effect]:
    """Return what the node knows of the group's past: a primary, its first start, or nothing."""
    node = request.node
    known_epoch = max(request.seen_epoch, node.configuration.epoch)
    if known_epoch:
        return [EmitEvent(EarlierPrimaryReported(node.node_id, known_epoch))]
    if request.group_is_starting:
        return [EmitEvent(GroupStartReported(node.node_id))]
    return []
