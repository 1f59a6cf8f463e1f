"""The node's lease and role grants, valid from the time at which the renewal was sent.

The primary counts from the receipt, which is later: what has expired there has expired here.
"""

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
    expires_at: float


@attrs.define
class NodeLease:
    """The lease and the role grants of this process. Only one renewal may be in flight.

    ``expires_at`` is the end of the lease in monotonic seconds, ``epoch`` the highest epoch of
    an answer.
    """

    expires_at: float = 0.0
    epoch: int = 0
    _sequence: int = 0
    _sent_at: float = 0.0
    _grants: dict[str, ActiveGrant] = attrs.field(factory=dict)

    def valid(self, now: float) -> bool:
        """Return whether the lease is valid at ``now``."""
        return now < self.expires_at

    def grant(self, role_key: str, now: float) -> RoleGrant | None:
        """Return the grant of a role if it is valid at ``now``, else None."""
        active = self._grants.get(role_key)
        return active.grant if active is not None and now < active.expires_at else None

    def grant_until(self, role_key: str, now: float) -> float:
        """Return the monotonic time at which the grant of a role ends; 0.0 without a valid one."""
        active = self._grants.get(role_key)
        return active.expires_at if active is not None and now < active.expires_at else 0.0

    def grants(self, now: float) -> tuple[RoleGrant, ...]:
        """Return the grants that are valid at ``now``, sorted by role key."""
        return tuple(
            self._grants[key].grant
            for key in sorted(self._grants)
            if now < self._grants[key].expires_at
        )

    def next_expiry(self) -> float | None:
        """Return the earliest end of a grant in monotonic seconds, or None without grants."""
        return min((active.expires_at for active in self._grants.values()), default=None)

    def expire(self, now: float) -> bool:
        """Drop expired grants; return whether there were any."""
        expired = [key for key, active in self._grants.items() if active.expires_at <= now]
        for key in expired:
            del self._grants[key]
        return bool(expired)

    def drop_all(self) -> bool:
        """Drop the lease and all grants; return whether there was a grant."""
        had_grants = bool(self._grants)
        self._grants.clear()
        self.expires_at = 0.0
        return had_grants

    def next_request(self, node: NodeRecord, now: float, *, releases: bool) -> RenewLeaseRequest:
        """Return the next renewal; the lease that it is granted counts from ``now``.

        With ``releases`` the node gives up its lease instead of renewing it.
        """
        self._sequence += 1
        self._sent_at = now
        return RenewLeaseRequest(
            node=node,
            held_grants=[self._announced_grant(key, now) for key in sorted(self._grants)],
            leaving=releases,
            sequence=self._sequence,
            seen_epoch=self.epoch,
        )

    def _announced_grant(self, role_key: str, now: float) -> RoleGrant:
        active = self._grants[role_key]
        remaining_ms = max(0, int((active.expires_at - now) * 1000))
        return RoleGrant(role_key=role_key, token=active.grant.token, lease_ms=remaining_ms)

    def apply_answer(self, answer: RenewLeaseAnswer, now: float) -> bool:
        """Apply the answer to the latest renewal; return whether the grants changed.

        Grants that the answer doesn't list end. An answer of an earlier epoch is ignored.
        """
        if answer.epoch < self.epoch:
            return False
        self.epoch = answer.epoch
        self.expires_at = self._sent_at + answer.lease_ms / 1000
        before = {key: active.grant.token for key, active in self._grants.items()}
        merged = {grant.role_key: self._merge(grant) for grant in answer.grants}
        self._grants = {key: active for key, active in merged.items() if now < active.expires_at}
        return before != {key: active.grant.token for key, active in self._grants.items()}

    def _merge(self, grant: RoleGrant) -> ActiveGrant:
        expires_at = self._sent_at + grant.lease_ms / 1000
        active = self._grants.get(grant.role_key)
        if active is not None and is_newer(active.grant.token, grant.token):
            return active
        return ActiveGrant(grant, expires_at)
