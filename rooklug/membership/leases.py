"""Node leases at the primary: soft state that renewals rebuild after a failover."""

from collections import OrderedDict
from enum import Enum

import attrs

from rooklug.distribution.members_delta import published_fields
from rooklug.membership.timing import NODE_LEASE_EXPIRY_S
from rooklug.wire.generated.control.ttypes import NodeRecord, RenewLeaseRequest

_MAX_RETIRED_INCARNATIONS = 4096
"""Incarnations whose delayed renewals are rejected; the oldest are dropped beyond this."""


@attrs.frozen
class NodeIdentity:
    """One process of a node; a restarted process has a new incarnation."""

    node_id: str
    incarnation: str


def identity_of(record: NodeRecord) -> NodeIdentity:
    """Return the identity of the process that sent ``record``."""
    return NodeIdentity(record.node_id, record.incarnation)


class RenewalOutcome(Enum):
    """What a renewal did to the lease; the value describes the case."""

    RENEWED = "renewed"
    CHANGED = "renewed, and what others see of the node has changed"
    STALE = "overtaken by a later renewal, or from a process that has ended"


@attrs.define
class _NodeLease:
    record: NodeRecord
    sequence: int
    expires_at: float


@attrs.define
class LeaseTable:
    """Leases by node id. No lease expires before ``grace_until`` (monotonic seconds).

    Incarnations that were replaced or have left are retired: they can't renew any more.
    """

    grace_until: float = 0.0
    _leases: dict[str, _NodeLease] = attrs.field(factory=dict)
    _retired: OrderedDict[NodeIdentity, None] = attrs.field(factory=OrderedDict)

    def start(self, now: float) -> None:
        """Start a term without leases; nodes have one lease period to renew at this primary."""
        self._leases.clear()
        self._retired.clear()
        self.extend_grace(now)

    def extend_grace(self, now: float) -> None:
        """Let no lease expire for one lease period from ``now``."""
        self.grace_until = now + NODE_LEASE_EXPIRY_S

    def renew(self, request: RenewLeaseRequest, now: float) -> RenewalOutcome:
        """Apply a renewal; a request to leave goes to ``leave`` instead."""
        identity = identity_of(request.node)
        current = self._leases.get(identity.node_id)
        if identity in self._retired:
            return RenewalOutcome.STALE
        if current is not None and current.record.incarnation == identity.incarnation:
            if request.sequence <= current.sequence:
                return RenewalOutcome.STALE
        elif current is not None:
            self._retire(identity_of(current.record))
        self._leases[identity.node_id] = _NodeLease(
            request.node, request.sequence, now + NODE_LEASE_EXPIRY_S
        )
        if current is None or published_fields(current.record) != published_fields(request.node):
            return RenewalOutcome.CHANGED
        return RenewalOutcome.RENEWED

    def leave(self, identity: NodeIdentity) -> bool:
        """Remove the lease of a process that shuts down; return whether it had one."""
        self._retire(identity)
        current = self._leases.get(identity.node_id)
        if current is None or current.record.incarnation != identity.incarnation:
            return False
        del self._leases[identity.node_id]
        return True

    def expire(self, now: float) -> list[NodeRecord]:
        """Remove expired leases and return their records; there are none in the grace period."""
        if now < self.grace_until:
            return []
        expired = [lease.record for lease in self._leases.values() if lease.expires_at <= now]
        for record in expired:
            del self._leases[record.node_id]
        return expired

    def is_live(self, identity: NodeIdentity) -> bool:
        """Return whether this incarnation, and not only its node, has a lease."""
        current = self._leases.get(identity.node_id)
        return current is not None and current.record.incarnation == identity.incarnation

    def live(self) -> list[NodeRecord]:
        """Return the records of all nodes with a lease, sorted by node id."""
        return [self._leases[node_id].record for node_id in sorted(self._leases)]

    def __len__(self) -> int:
        return len(self._leases)

    def _retire(self, identity: NodeIdentity) -> None:
        self._retired[identity] = None
        if len(self._retired) > _MAX_RETIRED_INCARNATIONS:
            self._retired.popitem(last=False)
