"""The node's lease and role grants; they run by its own clock from its own sends."""

import attrs

from rooklug.model.versions import is_newer
from rooklug.wire.generated.control.ttypes import (
    NodeRecord,
    RenewLeaseAnswer,
    RenewLeaseRequest,
    RoleGrant,
)


@attrs.frozen
class ActiveGrant:
    """A grant and the monotonic time at which it ends."""

    grant: RoleGrant
    until: float


@attrs.define
class NodeLease:
    """The lease and the grants of this process. One renewal is in flight at a time."""

    until: float = 0.0
    epoch: int = 0
    _sequence: int = 0
    _sent_at: float = 0.0
    _grants: dict[str, ActiveGrant] = attrs.field(factory=dict)

    def valid(self, now: float) -> bool:
        """Return whether the node's lease is valid."""
        return now < self.until

    def grant(self, role_key: str, now: float) -> RoleGrant | None:
        """Return the grant of a role while it is valid."""
        active = self._grants.get(role_key)
        return active.grant if active is not None and now < active.until else None

    def grant_until(self, role_key: str, now: float) -> float:
        """Return the monotonic time at which the grant of a role ends; 0.0 without a valid one."""
        active = self._grants.get(role_key)
        return active.until if active is not None and now < active.until else 0.0

    def grants(self, now: float) -> tuple[RoleGrant, ...]:
        """Return the valid grants by role key."""
        return tuple(
            self._grants[key].grant for key in sorted(self._grants) if now < self._grants[key].until
        )

    def next_end(self) -> float | None:
        """Return when the first grant ends, or None without grants."""
        return min((active.until for active in self._grants.values()), default=None)

    def expire(self, now: float) -> bool:
        """Drop expired grants; return whether there were any."""
        over = [key for key, active in self._grants.items() if active.until <= now]
        for key in over:
            del self._grants[key]
        return bool(over)

    def drop_all(self) -> bool:
        """Drop the lease and all grants; return whether there was a grant."""
        had_grants = bool(self._grants)
        self._grants.clear()
        self.until = 0.0
        return had_grants

    def request(self, node: NodeRecord, now: float, *, releases: bool) -> RenewLeaseRequest:
        """Return the next renewal; the lease that it brings counts from ``now``.

        ``releases``: the node gives its lease back instead of renewing it.
        """
        self._sequence += 1
        self._sent_at = now
        return RenewLeaseRequest(
            node=node,
            held_grants=[self._announce(key, now) for key in sorted(self._grants)],
            leaving=releases,
            sequence=self._sequence,
            seen_epoch=self.epoch,
        )

    def _announce(self, role_key: str, now: float) -> RoleGrant:
        active = self._grants[role_key]
        left_ms = max(0, int((active.until - now) * 1000))
        return RoleGrant(role_key=role_key, token=active.grant.token, lease_ms=left_ms)

    def take(self, answer: RenewLeaseAnswer, now: float) -> bool:
        """Take the answer to the latest renewal; return whether the grants changed."""
        if answer.epoch < self.epoch:
            return False
        self.epoch = answer.epoch
        self.until = self._sent_at + answer.lease_ms / 1000
        before = {key: active.grant.token for key, active in self._grants.items()}
        merged = {grant.role_key: self._merge(grant) for grant in answer.grants}
        self._grants = {key: active for key, active in merged.items() if now < active.until}
        return before != {key: active.grant.token for key, active in self._grants.items()}

    def _merge(self, grant: RoleGrant) -> ActiveGrant:
        until = self._sent_at + grant.lease_ms / 1000
        active = self._grants.get(grant.role_key)
        if active is not None and is_newer(active.grant.token, grant.token):
            return active
        return ActiveGrant(grant, until)
