"""The node's lease and its role grants, valid by its own clock from its own sends."""

import attrs

from rooklug.model.versions import is_newer
from rooklug.wire.generated.control.ttypes import (
    NodeRecord,
    RenewLeaseAnswer,
    RenewLeaseRequest,
    RoleGrant,
)


@attrs.frozen
class HeldGrant:
    """A grant and the monotonic time at which it ends."""

    grant: RoleGrant
    until: float


@attrs.define
class HeldLease:
    """What this process holds. One renewal is under way at a time."""

    until: float = 0.0
    epoch: int = 0
    _sequence: int = 0
    _sent_at: float = 0.0
    _grants: dict[str, HeldGrant] = attrs.field(factory=dict)

    def valid(self, now: float) -> bool:
        """Tell whether the node's lease is valid."""
        return now < self.until

    def grant(self, role_key: str, now: float) -> RoleGrant | None:
        """Return the grant of a role while it is valid."""
        held = self._grants.get(role_key)
        return held.grant if held is not None and now < held.until else None

    def grant_until(self, role_key: str, now: float) -> float:
        """Return when the grant of a role ends; 0.0 without a valid one."""
        held = self._grants.get(role_key)
        return held.until if held is not None and now < held.until else 0.0

    def grants(self, now: float) -> tuple[RoleGrant, ...]:
        """Return the valid grants by role key."""
        return tuple(
            self._grants[key].grant for key in sorted(self._grants) if now < self._grants[key].until
        )

    def next_end(self) -> float | None:
        """Return when the first grant ends, or None without grants."""
        return min((held.until for held in self._grants.values()), default=None)

    def expire(self, now: float) -> bool:
        """Drop the grants that are over; tell whether there were any."""
        over = [key for key, held in self._grants.items() if held.until <= now]
        for key in over:
            del self._grants[key]
        return bool(over)

    def drop_all(self) -> bool:
        """Stop holding anything; tell whether there was a grant."""
        had_grants = bool(self._grants)
        self._grants.clear()
        self.until = 0.0
        return had_grants

    def request(self, node: NodeRecord, leaving: bool, now: float) -> RenewLeaseRequest:
        """Return the next renewal; what it brings counts from ``now``."""
        self._sequence += 1
        self._sent_at = now
        return RenewLeaseRequest(
            node=node,
            held_grants=[self._announce(key, now) for key in sorted(self._grants)],
            leaving=leaving,
            sequence=self._sequence,
            seen_epoch=self.epoch,
        )

    def _announce(self, role_key: str, now: float) -> RoleGrant:
        held = self._grants[role_key]
        left_ms = max(0, int((held.until - now) * 1000))
        return RoleGrant(role_key=role_key, token=held.grant.token, lease_ms=left_ms)

    def take(self, answer: RenewLeaseAnswer, now: float) -> bool:
        """Take the answer to the latest renewal; tell whether the grants changed."""
        if answer.epoch < self.epoch:
            return False
        self.epoch = answer.epoch
        self.until = self._sent_at + answer.lease_ms / 1000
        before = {key: held.grant.token for key, held in self._grants.items()}
        kept = {grant.role_key: self._merge(grant) for grant in answer.grants}
        self._grants = {key: held for key, held in kept.items() if now < held.until}
        return before != {key: held.grant.token for key, held in self._grants.items()}

    def _merge(self, grant: RoleGrant) -> HeldGrant:
        until = self._sent_at + grant.lease_ms / 1000
        held = self._grants.get(grant.role_key)
        if held is not None and is_newer(held.grant.token, grant.token):
            return held
        return HeldGrant(grant, until)

    def shortest_left(self, now: float) -> float | None:
        """Return the time left of the grant that ends first, or None without grants."""
        end = self.next_end()
        return None if end is None else end - now
