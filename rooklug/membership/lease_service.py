"""Answers renewals, and publishes the changes of membership that they bring."""

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.membership.core_view import CoreView
from rooklug.membership.leases import RenewalOutcome, identity_of
from rooklug.membership.timing import MEMBERS_BATCH_S, TICK_S
from rooklug.model.constants import LEASE_S
from rooklug.wire.generated.control.ttypes import RenewLeaseRequest

PUBLISH_MEMBERS = "publish-members"
PUBLISH_EARLY = "publish-early-members"
_LEASE_MS = int(LEASE_S * 1000)


@attrs.define
class LeaseService:
    """Acts on the shared view; only while this core is the primary."""

    view: CoreView
    _early_is_due: bool = False

    def renew(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        """Answer a renewal with the complete set of roles that the node may hold."""
        view, request = self.view, event.request
        if not view.acts(now):
            return [fx.Answer(event.call_id, view.renewal_answer(False, 0, [], now))]
        if request.leaving:
            return self._leave(event.call_id, request, now)
        outcome = view.leases.renew(request, now)
        if outcome is RenewalOutcome.LATE:
            return [fx.Answer(event.call_id, view.renewal_answer(False, 0, [], now))]
        view.roles.take_renewal(request, now)
        if outcome is RenewalOutcome.CHANGED:
            view.roles.plan(view.leases.live(), view.drained_zones, now)
        grants, owners_changed = view.roles.grants_for(request, now)
        answer = view.renewal_answer(True, _LEASE_MS, grants, now)
        effects: list[fx.Effect] = [fx.Answer(event.call_id, answer)]
        if outcome is RenewalOutcome.CHANGED or owners_changed:
            effects += self.members_changed(now)
        return effects + view.ask_to_renew(now)

    def _leave(self, call_id: int, request: RenewLeaseRequest, now: float) -> list[fx.Effect]:
        view = self.view
        view.roles.take_leave(request, now)
        view.leases.leave(identity_of(request.node))
        answer = view.renewal_answer(True, 0, [], now)
        effects = [fx.Answer(call_id, answer), *view.move_roles(now)]
        return effects + self.members_changed(now)

    def expire(self, now: float) -> list[fx.Effect]:
        """Drop the nodes whose leases are over, and let their roles move."""
        gone = self.view.leases.expire(now)
        effects = self.view.move_roles(now)
        if not gone:
            return effects
        fields = {"nodes": [record.node_id for record in gone]}
        log = fx.Log("warning", "leases expired without renewal", fields)
        return [*effects, log, *self.members_changed(now)]

    def members_changed(self, now: float) -> list[fx.Effect]:
        """Publish the members soon; further changes until then go out with this one."""
        members = self.view.members
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
        """Before a term's first publication: tell nodes that know nobody."""
        self._early_is_due = False
        view = self.view
        if not view.acts(now) or view.members.published:
            return []
        view.members.publish_early(view.store, view.leases, view.roles)
        return view.wake(now)

    def publish_members(self, now: float) -> list[fx.Effect]:
        """Publish the members topic if what matters of it has changed."""
        view = self.view
        if not view.acts(now):
            again = fx.StartTimer(PUBLISH_MEMBERS, TICK_S)
            return [again] if view.primacy.is_primary else []
        polls = len(view.hub)
        published = view.members.publish(view.store, view.leases, view.roles, polls, now)
        return view.wake(now) if published else []
