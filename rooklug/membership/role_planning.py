"""Plans the owners of singleton roles. A role stays with its owner unless it has to move."""

from collections.abc import Sequence

import attrs

from rooklug.membership.leases import NodeIdentity, identity_of
from rooklug.membership.selection import Load, choose_node, is_draining
from rooklug.wire.generated.control.ttypes import NodeRecord, VersionMark

_MIN_IMBALANCE = 2
"""Difference of owned roles from which rebalancing moves one; it needs as many candidates."""


@attrs.define
class RoleState:
    """One singleton role, as the primary sees it.

    Attributes
    ----------
    free_at
        Monotonic time from which no earlier owner can still hold a valid grant.
    owner, token
        The process that the role is granted to, and the fencing token of the grant.
    confirmed
        Whether ``token`` is known to be the newest. A grant of an earlier primary is so only once
        its owner has announced it after an answer of this primary's term.
    revoked
        Whether the grant is no longer extended, so that the role can move.
    next_owner
        Id of the node that gets the role next, or "".
    renewal_requested_from
        Id of the node whose renewal was last requested for this role, or "".
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
        """Remove the owner, which has released the role.

        The role is free at once only if its token was confirmed; otherwise a later grant of the
        earlier primary may still be valid.
        """
        if self.confirmed:
            self.free_at = now
        self.owner = None
        self.revoked = False
        self.renewal_requested_from = ""

    def next_node_to_renew(self, now: float) -> str:
        """Return the node whose renewal would let the role move now, or "".

        Each node is returned once, and recorded in ``renewal_requested_from``.
        """
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
        """The node that is to own the role: the next owner, else an owner whose grant stays."""
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
    """Choose owners for the roles of one group among its live ``members``.

    Draining nodes are avoided as long as any other node is ready. With ``rebalance`` one role
    may move from an owner that could keep it.
    """
    ready = [node for node in members if node.ready]
    not_draining = [node for node in ready if not is_draining(node, drained_zones)]
    candidates = not_draining or ready
    live = {identity_of(node): node for node in members}
    candidate_ids = {node.node_id for node in candidates}
    for state in states:
        if state.next_owner not in candidate_ids:
            state.next_owner = ""
        owner = live.get(state.owner) if state.owner else None
        if owner is not None:
            drains = bool(not_draining) and is_draining(owner, drained_zones)
            state.revoked = drains or (state.revoked and state.next_owner != "")
    _assign_vacant_roles(states, candidates, live)
    if rebalance:
        _rebalance_one_role(states, candidates)


def _assign_vacant_roles(
    states: Sequence[RoleState],
    candidates: Sequence[NodeRecord],
    live: dict[NodeIdentity, NodeRecord],
) -> None:
    for state in states:
        keeps_owner = state.owner in live and not state.revoked
        if keeps_owner or state.next_owner:
            continue
        owners = [other.planned_owner for other in states if other is not state]
        load = Load.of(owners, candidates)
        state.next_owner = choose_node(state.key, candidates, load, len(states))


def _rebalance_one_role(states: Sequence[RoleState], candidates: Sequence[NodeRecord]) -> None:
    """Move one role from the most to the least loaded node, if no other move is planned."""
    if len(candidates) < _MIN_IMBALANCE or any(state.next_owner for state in states):
        return
    load = Load.of((state.planned_owner for state in states), candidates).by_node
    ordered = sorted(candidates, key=lambda node: (load[node.node_id], node.node_id))
    least_loaded, most_loaded = ordered[0].node_id, ordered[-1].node_id
    if load[most_loaded] - load[least_loaded] < _MIN_IMBALANCE:
        return
    moving = next(state for state in states if state.planned_owner == most_loaded)
    moving.revoked = True
    moving.next_owner = least_loaded
