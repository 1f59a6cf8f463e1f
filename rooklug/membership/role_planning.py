"""Which roles have to move, and where to. Roles stay where they are unless that is needed."""

from collections.abc import Sequence

import attrs

from rooklug.membership.leases import NodeIdentity, identity_of
from rooklug.membership.selection import Load, choose_node, is_going
from rooklug.wire.generated.control.ttypes import NodeRecord, VersionMark

_UNEVEN_BY = 2


@attrs.define
class RoleState:
    """One role. ``free_at``: from then on no earlier holder can think that it holds it.

    ``confirmed``: the token is known to be the newest; an announced one is so only once
    its holder announced it again after this primary's first answer. ``revoked``: not
    extended any more, so that it can move. ``chosen``: the node that gets it next;
    ``asked``: the node that was last asked to renew for it.
    """

    key: str
    free_at: float
    holder: NodeIdentity | None = None
    token: VersionMark | None = None
    confirmed: bool = False
    revoked: bool = False
    chosen: str = ""
    asked: str = ""

    def vacate(self, now: float) -> None:
        """The holder certainly holds it no more; an unconfirmed one may have a successor."""
        if self.confirmed:
            self.free_at = now
        self.holder = None
        self.revoked = False
        self.asked = ""

    def node_to_ask(self, now: float) -> str:
        """Return the node whose renewal would move the role on now, once each; else ""."""
        node_id = ""
        if self.revoked and self.holder is not None:
            node_id = self.holder.node_id
        elif self.chosen and now >= self.free_at:
            node_id = self.chosen
        if node_id == self.asked:
            return ""
        self.asked = node_id
        return node_id

    @property
    def future_owner(self) -> str:
        """Return the node that is to have it: the chosen one, else a holder that stays."""
        if self.chosen:
            return self.chosen
        return self.holder.node_id if self.holder and not self.revoked else ""


def plan_group(
    states: Sequence[RoleState],
    members: Sequence[NodeRecord],
    drained_zones: frozenset[str],
    rebalance: bool,
) -> None:
    """Choose nodes for the roles of one group among its live ``members``.

    ``rebalance``: one role may move although its holder could go on.
    """
    ready = [node for node in members if node.ready]
    staying = [node for node in ready if not is_going(node, drained_zones)]
    candidates = staying or ready
    live = {identity_of(node): node for node in members}
    candidate_ids = {node.node_id for node in candidates}
    for state in states:
        if state.chosen not in candidate_ids:
            state.chosen = ""
        holder = live.get(state.holder) if state.holder else None
        if holder is not None:
            leaves = bool(staying) and is_going(holder, drained_zones)
            state.revoked = leaves or (state.revoked and state.chosen != "")
    _choose_for_vacant(states, candidates, live)
    if rebalance:
        _move_one(states, candidates)


def _choose_for_vacant(
    states: Sequence[RoleState],
    candidates: Sequence[NodeRecord],
    live: dict[NodeIdentity, NodeRecord],
) -> None:
    for state in states:
        stays = state.holder in live and not state.revoked
        if stays or state.chosen:
            continue
        owners = [other.future_owner for other in states if other is not state]
        load = Load.of(owners, candidates)
        state.chosen = choose_node(state.key, candidates, load, len(states))


def _move_one(states: Sequence[RoleState], candidates: Sequence[NodeRecord]) -> None:
    """Move one role from the node with most to the one with fewest, if they are uneven."""
    if len(candidates) < _UNEVEN_BY or any(state.chosen for state in states):
        return
    load = Load.of((state.future_owner for state in states), candidates).by_node
    ordered = sorted(candidates, key=lambda node: (load[node.node_id], node.node_id))
    fewest, most = ordered[0].node_id, ordered[-1].node_id
    if load[most] - load[fewest] < _UNEVEN_BY:
        return
    moved = next(state for state in states if state.future_owner == most)
    moved.revoked = True
    moved.chosen = fewest
