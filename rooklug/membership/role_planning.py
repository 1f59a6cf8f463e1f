"""Which singleton roles have to move, and where to. A role stays unless it has to move."""

from collections.abc import Sequence

import attrs

from rooklug.membership.leases import NodeIdentity, identity_of
from rooklug.membership.selection import Load, choose_node, is_draining
from rooklug.wire.generated.control.ttypes import NodeRecord, VersionMark

_UNEVEN_BY = 2


@attrs.define
class RoleState:
    """One singleton role, as the primary knows it.

    Attributes
    ----------
    free_at
        From this monotonic time on no earlier owner can believe that it owns the role.
    owner, token
        Whom the role is granted to, under which fencing token.
    confirmed
        Whether ``token`` is known to be the newest; an announced one is so only once its owner
        announced it again after this primary's first answer.
    revoked
        The grant is not extended any more, so that the role can move.
    next_owner
        The node that gets the role next, "" for none.
    renewal_requested_from
        The node whose renewal was last requested for this role.
    """

    key: str
    free_at: float
    owner: NodeIdentity | None = None
    token: VersionMark | None = None
    confirmed: bool = False
    revoked: bool = False
    next_owner: str = ""
    renewal_requested_from: str = ""

    def vacate(self, now: float) -> None:
        """The owner certainly has released it; an unconfirmed one may have a successor."""
        if self.confirmed:
            self.free_at = now
        self.owner = None
        self.revoked = False
        self.renewal_requested_from = ""

    def node_to_renew(self, now: float) -> str:
        """Return the node whose renewal would move the role now, once for each node; else ""."""
        node_id = ""
        if self.revoked and self.owner is not None:
            node_id = self.owner.node_id
        elif self.next_owner and now >= self.free_at:
            node_id = self.next_owner
        if node_id == self.renewal_requested_from:
            return ""
        self.renewal_requested_from = node_id
        return node_id

    @property
    def planned_owner(self) -> str:
        """Return the node that is to have it: the next owner, else an owner that stays."""
        if self.next_owner:
            return self.next_owner
        return self.owner.node_id if self.owner and not self.revoked else ""


def plan_group(
    states: Sequence[RoleState],
    members: Sequence[NodeRecord],
    drained_zones: frozenset[str],
    *,
    rebalance: bool,
) -> None:
    """Choose nodes for the roles of one group among its live ``members``.

    ``rebalance``: one role may move although its owner could go on.
    """
    ready = [node for node in members if node.ready]
    staying = [node for node in ready if not is_draining(node, drained_zones)]
    candidates = staying or ready
    live = {identity_of(node): node for node in members}
    candidate_ids = {node.node_id for node in candidates}
    for state in states:
        if state.next_owner not in candidate_ids:
            state.next_owner = ""
        owner = live.get(state.owner) if state.owner else None
        if owner is not None:
            drains = bool(staying) and is_draining(owner, drained_zones)
            state.revoked = drains or (state.revoked and state.next_owner != "")
    _choose_for_vacant(states, candidates, live)
    if rebalance:
        _move_one(states, candidates)


def _choose_for_vacant(
    states: Sequence[RoleState],
    candidates: Sequence[NodeRecord],
    live: dict[NodeIdentity, NodeRecord],
) -> None:
    for state in states:
        stays = state.owner in live and not state.revoked
        if stays or state.next_owner:
            continue
        owners = [other.planned_owner for other in states if other is not state]
        load = Load.of(owners, candidates)
        state.next_owner = choose_node(state.key, candidates, load, len(states))


def _move_one(states: Sequence[RoleState], candidates: Sequence[NodeRecord]) -> None:
    """Move one role from the node with most to the one with fewest, if they are uneven."""
    if len(candidates) < _UNEVEN_BY or any(state.next_owner for state in states):
        return
    load = Load.of((state.planned_owner for state in states), candidates).by_node
    ordered = sorted(candidates, key=lambda node: (load[node.node_id], node.node_id))
    fewest, most = ordered[0].node_id, ordered[-1].node_id
    if load[most] - load[fewest] < _UNEVEN_BY:
        return
    moved = next(state for state in states if state.planned_owner == most)
    moved.revoked = True
    moved.next_owner = fewest
