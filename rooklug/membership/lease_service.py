"""Answers renewals, and publishes the changes of membership that they bring."""

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.membership.leases import RenewalOutcome, identity_of
from rooklug.membership.membership_state import MembershipState
from rooklug.membership.timing import MEMBERS_BATCH_S, TICK_S
from rooklug.model.constants import LEASE_S
from rooklug.wire.generated.control.ttypes import RenewLeaseRequest

PUBLISH_MEMBERS = "publish-members"
PUBLISH_EARLY = "publish-early-members"
_LEASE_MS = int(LEASE_S * 1000)


@attrs.define
class LeaseService:
    """Serves renewals on the shared state, only while this core is the primary."""

    state: MembershipState
    _early_is_due: bool = False

    def renew(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        """Answer a renewal with the complete set of roles that the node may hold."""
        state, request = self.state, event.request
        if not state.acts(now):
            return [fx.Answer(event.call_id, state.renewal_refusal(now))]
        if request.leaving:
            return self._leave(event.call_id, request, now)
        outcome = state.leases.renew(request, now)
        if outcome is RenewalOutcome.LATE:
            return [fx.Answer(event.call_id, state.renewal_refusal(now))]
        state.roles.take_renewal(request, now)
        if outcome is RenewalOutcome.CHANGED:
            state.roles.plan(state.leases.live(), state.drained_zones, now)
        grants, owners_changed = state.roles.grants_for(request, now)
        answer = state.renewal_grant(_LEASE_MS, grants, now)
        effects: list[fx.Effect] = [fx.Answer(event.call_id, answer)]
        if outcome is RenewalOutcome.CHANGED or owners_changed:
            effects += self.members_changed(now)
        return effects + state.request_renewal(now)

    def _leave(self, call_id: int, request: RenewLeaseRequest, now: float) -> list[fx.Effect]:
        state = self.state
        state.roles.take_leave(request, now)
        state.leases.leave(identity_of(request.node))
        answer = state.renewal_grant(0, [], now)
        effects = [fx.Answer(call_id, answer), *state.move_roles(now)]
        return effects + self.members_changed(now)

    def expire(self, now: float) -> list[fx.Effect]:
        """Drop the nodes whose leases are over, and let their roles move."""
        gone = self.state.leases.expire(now)
        effects = self.state.move_roles(now)
        if not gone:
            return effects
        fields = {"nodes": [record.node_id for record in gone]}
        log = fx.Log("warning", "leases expired without renewal", fields)
        return [*effects, log, *self.members_changed(now)]

    def members_changed(self, now: float) -> list[fx.Effect]:
        """Publish the members soon; further changes until then go out with this one."""
        members = self.state.members
        if not members.published:
            return self._early_soon()
        if members.dirty:
            return []
        members.dirty = True
        return [fx.StartTimer(PUBLISH_MEMBERS, members.delay(now))]

    def _early_soon(self) -> list[fx.Effect]:
        if self._early_is_due:
            return []
        self._early_is_due = True
        return [fx.StartTimer(PUBLISH_EARLY, MEMBERS_BATCH_S)]

    def publish_early(self, now: float) -> list[fx.Effect]:
        """Before a term's first publication: publish to nodes that know nobody."""
        self._early_is_due = False
        state = self.state
        if not state.acts(now) or state.members.published:
            return []
        state.members.publish_early(state.store, state.leases, state.roles)
        return state.wake(now)

    def publish_members(self, now: float) -> list[fx.Effect]:
        """Publish the members topic if what matters of it has changed."""
        state = self.state
        if not state.acts(now):
            again = fx.StartTimer(PUBLISH_MEMBERS, TICK_S)
            return [again] if state.primary.is_primary else []
        pending_polls = len(state.polls)
        published = state.members.publish(
            state.store, state.leases, state.roles, pending_polls, now
        )
        return state.wake(now) if published else []
