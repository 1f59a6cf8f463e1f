"""Singleton roles at the primary: the owner, the fencing token and the lease of each.

The table is soft state of one primary. A role is granted only to the node that was chosen
for it, in the answer to that node's renewal, and only once the previous owner's lease has
surely ended by this core's clock or was given back.
"""

from collections.abc import Sequence

from rooklug.membership.leases import NodeIdentity, identity_of
from rooklug.membership.role_planning import RoleState, plan_group
from rooklug.membership.timing import (
    REBALANCE_INTERVAL_S,
    ROLE_LEASE_EXPIRY_S,
    UNANNOUNCED_GRANTS_EXPIRY_S,
    longest_by_any_clock,
)
from rooklug.model.constants import ROLE_LEASE_S
from rooklug.model.topics import (
    CLAIM_SHARDS,
    PROBER_SHARDS,
    ROLE_CLAIMS_PREFIX,
    ROLE_PLACER,
    ROLE_PLATFORM_WATCHER,
    ROLE_PROBER_PREFIX,
)
from rooklug.model.versions import is_newer
from rooklug.wire.generated.control.ttypes import (
    NodeRecord,
    RenewLeaseRequest,
    RoleGrant,
    VersionMark,
)

CONTROLLER = "controller"
FRONT = "front"
ROLE_LEASE_MS = int(ROLE_LEASE_S * 1000)

ROLE_GROUPS: dict[str, tuple[str, ...]] = {
    CONTROLLER: (
        ROLE_PLACER,
        ROLE_PLATFORM_WATCHER,
        *(f"{ROLE_PROBER_PREFIX}{shard}" for shard in range(PROBER_SHARDS)),
    ),
    FRONT: tuple(f"{ROLE_CLAIMS_PREFIX}{shard}" for shard in range(CLAIM_SHARDS)),
}
"""The role keys by the node role that may hold them."""


class RoleTable:
    """All singleton roles of one primary's term."""

    def __init__(self) -> None:
        self.epoch = 0
        self._first_epoch = 0
        self.announced_until = 0.0
        self._counter = 0
        self._next_rebalance = 0.0
        self._states: dict[str, RoleState] = {}
        self._groups: dict[str, list[RoleState]] = {}

    def start(self, epoch: int, now: float) -> None:
        """Begin a term: nothing is known, nothing is granted until earlier grants have expired."""
        self.epoch = epoch
        self._first_epoch = epoch
        self.announced_until = now + UNANNOUNCED_GRANTS_EXPIRY_S
        self._next_rebalance = self.announced_until + REBALANCE_INTERVAL_S
        self._groups = {
            group: [RoleState(key, self.announced_until) for key in keys]
            for group, keys in ROLE_GROUPS.items()
        }
        self._states = {state.key: state for states in self._groups.values() for state in states}

    def raise_epoch(self, epoch: int) -> None:
        """Go on in a new view of the same primary: new tokens carry the new epoch."""
        self.epoch = epoch

    def states(self) -> list[RoleState]:
        """Return all roles by key."""
        return [self._states[key] for key in sorted(self._states)]

    def current(self, role_key: str, token: VersionMark, now: float) -> bool:
        """Return whether ``token`` is the grant of ``role_key`` that is valid now."""
        state = self._states.get(role_key)
        return (
            state is not None
            and state.owner is not None
            and state.confirmed
            and state.token == token
            and now < state.free_at
        )

    def take_renewal(self, request: RenewLeaseRequest, now: float) -> None:
        """Learn from the grants that a process announces, and from those it no longer mentions."""
        identity = identity_of(request.node)
        announced = {grant.role_key: grant for grant in request.held_grants}
        for state in self._states.values():
            grant = announced.get(state.key)
            if grant is not None:
                self._take_announced(state, identity, grant, request.seen_epoch, now)
            elif state.owner == identity:
                state.vacate(now)

    def take_leave(self, request: RenewLeaseRequest, now: float) -> None:
        """Free the roles of a process that releases its lease."""
        self.take_renewal(request, now)
        identity = identity_of(request.node)
        for state in self._states.values():
            if state.owner == identity:
                state.vacate(now)

    def _take_announced(
        self,
        state: RoleState,
        identity: NodeIdentity,
        grant: RoleGrant,
        seen_epoch: int,
        now: float,
    ) -> None:
        if state.owner == identity and state.token == grant.token:
            # Sent after this term began, while the old grant was valid and not extended by
            # us: the previous primary can't have given the role to anybody else.
            state.confirmed = state.confirmed or seen_epoch >= self._first_epoch
            return
        announced_in_time = now < self.announced_until and grant.token.epoch < self._first_epoch
        known = state.token
        if not announced_in_time or (known is not None and not is_newer(grant.token, known)):
            return
        state.owner = identity
        state.token = grant.token
        state.confirmed = seen_epoch >= self._first_epoch
        state.revoked = False
        state.next_owner = ""
        remaining_s = min(grant.lease_ms / 1000, ROLE_LEASE_S)
        state.free_at = max(self.announced_until, now + longest_by_any_clock(remaining_s))

    def grants_for(self, request: RenewLeaseRequest, now: float) -> tuple[list[RoleGrant], bool]:
        """Return the complete set of grants for this process, and whether an owner changed."""
        identity = identity_of(request.node)
        left_ms = {grant.role_key: grant.lease_ms for grant in request.held_grants}
        grants: list[RoleGrant] = []
        changed = False
        for state in self._states.values():
            if state.next_owner == identity.node_id and state.owner != identity:
                changed = self._grant_new(state, identity, now) or changed
            if state.owner != identity or state.revoked:
                continue
            grants.append(self._extend(state, left_ms.get(state.key, 0), now))
        return grants, changed

    def _grant_new(self, state: RoleState, identity: NodeIdentity, now: float) -> bool:
        if now < state.free_at:
            return False
        self._counter += 1
        state.owner = identity
        state.token = VersionMark(epoch=self.epoch, counter=self._counter)
        state.confirmed = True
        state.revoked = False
        state.next_owner = ""
        state.renewal_requested_from = ""
        return True

    def _extend(self, state: RoleState, left_ms: int, now: float) -> RoleGrant:
        if not state.confirmed:
            lease_ms = min(left_ms, ROLE_LEASE_MS)
            return RoleGrant(role_key=state.key, token=state.token, lease_ms=lease_ms)
        state.free_at = now + ROLE_LEASE_EXPIRY_S
        return RoleGrant(role_key=state.key, token=state.token, lease_ms=ROLE_LEASE_MS)

    def nodes_to_renew(self, now: float) -> list[str]:
        """Return the nodes whose renewal lets a role move without delay."""
        nodes = {state.node_to_renew(now) for state in self._states.values()}
        return sorted(nodes - {""})

    def plan(self, nodes: Sequence[NodeRecord], drained_zones: frozenset[str], now: float) -> None:
        """Choose a node for each role without one, and let roles of draining nodes move."""
        if now < self.announced_until:
            return
        rebalance = now >= self._next_rebalance
        if rebalance:
            self._next_rebalance = now + REBALANCE_INTERVAL_S
        for group, states in self._groups.items():
            members = [node for node in nodes if node.role == group]
            plan_group(states, members, drained_zones, rebalance=rebalance)
