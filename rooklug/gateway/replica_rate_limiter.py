"""Limits the fronts' joint rate to each replica to what it could sustain if it restarted now.

A replica may restart at any moment, and the list shows it only seconds later, while the bound on
a replica in slow start holds from its first moment. Replicas of a service with a slow-start rate
are therefore rate-limited even while they are warm. Fronts don't coordinate: each has a share of
the bound. A front sends freely up to its share. Beyond its share it prefers other replicas; only
when all of them are at their shares does it continue, up to a limit that it never exceeds. A front
whose lease has lapsed doesn't exceed its share: others may have taken its place since.
"""

import math
from collections import deque
from enum import IntEnum

import attrs

from rooklug.routing.send_shares import SenderRole, SendShare

RATE_WINDOW_S = 1.1
"""The one second of the bound plus a margin for requests that arrive in a burst."""


class Allowance(IntEnum):
    """Whether one more request to a replica is allowed."""

    NONE = 0
    """The front's limit is reached."""
    SPARE = 1
    """The front's share is used up, its limit is not."""
    FREE = 2
    """Within the front's share."""


@attrs.frozen
class SlowStartBound:
    """Upper bound on requests per second to a replica in slow start.

    It is the replica's slow-start rate times ``overshoot``, plus ``slack`` requests.
    """

    overshoot: float = 1.0
    slack: float = 5.0

    def requests(self, rate_per_s: float) -> float:
        """Return how many requests all fronts together may send within one second."""
        return rate_per_s * self.overshoot + self.slack


@attrs.frozen
class AllowedCounts:
    """One front's share and limit at a replica, in requests per second."""

    share: int
    limit: int


@attrs.frozen
class RateShare:
    """How the fronts of one sender role divide the bound.

    ``share`` and ``limit`` are fractions of the bound for all of these fronts together; each front
    gets at least ``min_share_count`` and ``min_limit_count`` requests per second.
    """

    share: float
    limit: float
    min_share_count: int
    min_limit_count: int

    def counts(self, bound: float, fronts: int) -> AllowedCounts:
        """Return the share and limit of one front when ``fronts`` of its role divide ``bound``."""
        share = math.floor(bound * self.share / fronts)
        limit = math.floor(bound * self.limit / fronts)
        return AllowedCounts(max(share, self.min_share_count), max(limit, self.min_limit_count))


SHARES = {
    SenderRole.OWN_REGION: RateShare(share=0.8, limit=0.9, min_share_count=1, min_limit_count=2),
    SenderRole.OTHER_REGION: RateShare(share=0.2, limit=0.5, min_share_count=1, min_limit_count=2),
    SenderRole.STANDBY: RateShare(share=0.0, limit=0.0, min_share_count=1, min_limit_count=2),
    SenderRole.NONE: RateShare(share=0.0, limit=0.0, min_share_count=1, min_limit_count=1),
}
"""The limits of a region's serving fronts leave a tenth of the bound to a standby front that
clients still use. With many fronts the minimum counts add up to more than the bound; the bound is
then exceeded only if all fronts choose the same replica within one second. A front without a share
may still receive a client's request, so it may send one per second."""


def allowed_counts(bound: float, share: SendShare) -> AllowedCounts:
    """Return a front's share and limit at a replica, in requests per second."""
    return SHARES[share.role].counts(bound, share.front_count)


@attrs.define
class ReplicaRateLimiter:
    """One front's sends to each replica within the last ``RATE_WINDOW_S`` seconds."""

    bound: SlowStartBound = attrs.field(factory=SlowStartBound)
    _sent_at: dict[str, deque[float]] = attrs.field(factory=dict)

    def allowance(
        self, replica_id: str, rate_per_s: float, share: SendShare, now: float
    ) -> Allowance:
        """Return whether one more request to a replica is allowed; a rate of 0 means no limit."""
        recent = len(self._recent(replica_id, now))
        if rate_per_s <= 0 or not recent:
            return Allowance.FREE
        allowed = allowed_counts(self.bound.requests(rate_per_s), share)
        if recent < allowed.share:
            return Allowance.FREE
        return Allowance.SPARE if recent < allowed.limit else Allowance.NONE

    def record_send(self, replica_id: str, now: float) -> None:
        """Record that a request is sent to a replica."""
        self._sent_at.setdefault(replica_id, deque()).append(now)

    def forget_except(self, replica_ids: set[str]) -> None:
        """Drop the records of replicas that are not in ``replica_ids``."""
        self._sent_at = {key: sent for key, sent in self._sent_at.items() if key in replica_ids}

    def _recent(self, replica_id: str, now: float) -> deque[float]:
        recent = self._sent_at.get(replica_id, deque())
        while recent and recent[0] <= now - RATE_WINDOW_S:
            recent.popleft()
        return recent
