"""Singleton roles at the primary: the owner, the fencing token and the lease of each.

The table is soft state of one primary's term. A role is granted only to the node that planning
chose for it, in the answer to that node's renewal, and only once the previous owner's grant has
expired by this core's clock, with a margin for clock drift, or was released.
"""

from collections.abc import Sequence

from rooklug.membership.leases import NodeIdentity, identity_of
from rooklug.membership.role_planning import RoleState, plan_group
from rooklug.membership.timing import (
    REBALANCE_INTERVAL_S,
    ROLE_LEASE_EXPIRY_S,
    UNANNOUNCED_GRANTS_EXPIRY_S,
    with_clock_drift_margin,
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
"""Role keys by the role of the nodes that may own them."""


class RoleTable:
    """All singleton roles of one primary's term.

    Until ``announcement_deadline`` (monotonic seconds) owners announce grants of earlier terms,
    and no role is granted anew: such a grant may still be valid.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self._term_start_epoch = 0
        self.announcement_deadline = 0.0
        self._counter = 0
        self._next_rebalance_at = 0.0
        self._states: dict[str, RoleState] = {}
        self._groups: dict[str, list[RoleState]] = {}

    def start(self, epoch: int, now: float) -> None:
        """Start a term without owners; no role is granted before earlier grants have expired."""
        self.epoch = epoch
        self._term_start_epoch = epoch
        self.announcement_deadline = now + UNANNOUNCED_GRANTS_EXPIRY_S
        self._next_rebalance_at = self.announcement_deadline + REBALANCE_INTERVAL_S
        self._groups = {
            group: [RoleState(key, self.announcement_deadline) for key in keys]
            for group, keys in ROLE_GROUPS.items()
        }
        self._states = {state.key: state for states in self._groups.values() for state in states}

    def raise_epoch(self, epoch: int) -> None:
        """Continue in a new view of the same primary; new tokens carry its epoch."""
        self.epoch = epoch

    def states(self) -> list[RoleState]:
        """Return the states of all roles, sorted by key."""
        return [self._states[key] for key in sorted(self._states)]

    def is_current(self, role_key: str, token: VersionMark, now: float) -> bool:
        """Return whether ``role_key`` is granted under ``token`` at ``now`` and confirmed."""
        state = self._states.get(role_key)
        return (
            state is not None
            and state.owner is not None
            and state.confirmed
            and state.token == token
            and now < state.free_at
        )

    def apply_renewal(self, request: RenewLeaseRequest, now: float) -> None:
        """Record the grants that a process announces; release those that it no longer holds."""
        identity = identity_of(request.node)
        announced = {grant.role_key: grant for grant in request.held_grants}
        for state in self._states.values():
            grant = announced.get(state.key)
            if grant is not None:
                self._apply_announced_grant(state, identity, grant, request.seen_epoch, now)
            elif state.owner == identity:
                state.vacate(now)

    def apply_leave(self, request: RenewLeaseRequest, now: float) -> None:
        """Release all roles of a process that gives up its lease."""
        self.apply_renewal(request, now)
        identity = identity_of(request.node)
        for state in self._states.values():
            if state.owner == identity:
                state.vacate(now)

    def _apply_announced_grant(
        self,
        state: RoleState,
        identity: NodeIdentity,
        grant: RoleGrant,
        seen_epoch: int,
        now: float,
    ) -> None:
        if state.owner == identity and state.token == grant.token:
            # A renewal that was sent after this term began announces a grant that was still
            # valid then and that this primary hasn't extended, so the previous primary can't
            # have granted the role to another node.
            state.confirmed = state.confirmed or seen_epoch >= self._term_start_epoch
            return
        announced_in_time = (
            now < self.announcement_deadline and grant.token.epoch < self._term_start_epoch
        )
        known = state.token
        if not announced_in_time or (known is not None and not is_newer(grant.token, known)):
            return
        state.owner = identity
        state.token = grant.token
        state.confirmed = seen_epoch >= self._term_start_epoch
        state.revoked = False
        state.next_owner = ""
        remaining_s = min(grant.lease_ms / 1000, ROLE_LEASE_S)
        state.free_at = max(self.announcement_deadline, now + with_clock_drift_margin(remaining_s))

    def renew_grants(self, request: RenewLeaseRequest, now: float) -> tuple[list[RoleGrant], bool]:
        """Grant and extend the roles of this process.

        Returns the complete set of its grants, and whether the owner of any role changed.
        """
        identity = identity_of(request.node)
        remaining_ms = {grant.role_key: grant.lease_ms for grant in request.held_grants}
        grants: list[RoleGrant] = []
        changed = False
        for state in self._states.values():
            if state.next_owner == identity.node_id and state.owner != identity:
                changed = self._grant_new(state, identity, now) or changed
            if state.owner != identity or state.revoked:
                continue
            grants.append(self._extend(state, remaining_ms.get(state.key, 0), now))
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

    def _extend(self, state: RoleState, remaining_ms: int, now: float) -> RoleGrant:
        if not state.confirmed:
            lease_ms = min(remaining_ms, ROLE_LEASE_MS)
            return RoleGrant(role_key=state.key, token=state.token, lease_ms=lease_ms)
        state.free_at = now + ROLE_LEASE_EXPIRY_S
        return RoleGrant(role_key=state.key, token=state.token, lease_ms=ROLE_LEASE_MS)

    def nodes_to_renew(self, now: float) -> list[str]:
        """Return the ids of the nodes whose renewals would let roles move now, each once."""
        nodes = {state.next_node_to_renew(now) for state in self._states.values()}
        return sorted(nodes - {""})

    def plan(self, nodes: Sequence[NodeRecord], drained_zones: frozenset[str], now: float) -> None:
        """Plan the owners of all roles among the live ``nodes``.

        Does nothing before ``announcement_deadline``; every ``REBALANCE_INTERVAL_S`` it may also
        move a role of each group for balance.
        """
        if now < self.announcement_deadline:
            return
        rebalance = now >= self._next_rebalance_at
        if rebalance:
            self._next_rebalance_at = now + REBALANCE_INTERVAL_S
        for group, states in self._groups.items():
            members = [node for node in nodes if node.role == group]
            plan_group(states, members, drained_zones, rebalance=rebalance)
