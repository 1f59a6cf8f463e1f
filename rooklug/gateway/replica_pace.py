"""Keeps what all fronts send to any replica near what it would bear if it turned cold now.

A replica may turn cold at any moment, and the list tells so only seconds later, while the bound
on a cold replica's requests counts from the first moment. So replicas of a service with a cold
rate are paced even while they are warm. Fronts don't ask each other: each has a part of the
bound. Up to its part a front sends freely; beyond it other replicas come first, and only when
all of them are at their parts does it go on, up to a limit that it never passes.
"""

import math
from collections import deque
from enum import IntEnum

import attrs

from rooklug.routing.send_rights import SendRight, Side

WINDOW_S = 1.1
"""The bound's second and what requests may bunch up on their way."""


class Room(IntEnum):
    """What one more request to a replica would be."""

    NONE = 0
    """Beyond the limit."""
    SPARE = 1
    """Beyond the part, within the limit."""
    FREE = 2
    """Within the part."""


@attrs.frozen
class ColdBound:
    """What a cold replica may get in a second: its rate times ``overshoot``, and ``slack``."""

    overshoot: float = 1.0
    slack: float = 5.0

    def requests(self, rate_per_s: float) -> float:
        """Return the requests that all fronts together may send within a second."""
        return rate_per_s * self.overshoot + self.slack


@attrs.frozen
class PaceShare:
    """Shares of the bound for all fronts of one side together, and least counts for each."""

    part_share: float
    limit_share: float
    least_part: int
    least_limit: int

    def counts(self, bound: float, fronts: int) -> tuple[int, int]:
        """Return the part and the limit of one of so many fronts, in requests a second."""
        part = max(math.floor(bound * self.part_share / fronts), self.least_part)
        return part, max(math.floor(bound * self.limit_share / fronts), self.least_limit)


SHARES = {
    Side.OWN_REGION: PaceShare(part_share=0.8, limit_share=1.0, least_part=1, least_limit=2),
    Side.OTHER_REGION: PaceShare(part_share=0.2, limit_share=0.5, least_part=1, least_limit=2),
    Side.STANDBY: PaceShare(part_share=0.0, limit_share=0.0, least_part=1, least_limit=2),
    Side.NONE: PaceShare(part_share=0.0, limit_share=0.0, least_part=1, least_limit=1),
}
"""With many fronts the least counts add up to more than the bound; a replica then gets requests
of all of them within one second only if all of them choose it. A front without a share may have
been given a client's request all the same: one a second."""


def own_counts(bound: float, right: SendRight) -> tuple[int, int]:
    """Return a front's part and limit at a replica, in requests a second."""
    return SHARES[right.side].counts(bound, right.sharers)


@attrs.define
class ReplicaPace:
    """One front's sends to each replica in the last moments."""

    bound: ColdBound = attrs.field(factory=ColdBound)
    _sent_at: dict[str, deque[float]] = attrs.field(factory=dict)

    def room(
        self,
        replica_id: str,
        rate_per_s: float,
        right: SendRight,
        now: float,
    ) -> Room:
        """Tell what one more request to a replica would be."""
        recent = len(self._recent(replica_id, now))
        if rate_per_s <= 0 or not recent:
            return Room.FREE
        part, limit = own_counts(self.bound.requests(rate_per_s), right)
        if recent < part:
            return Room.FREE
        return Room.SPARE if recent < limit else Room.NONE

    def sent(self, replica_id: str, now: float) -> None:
        """Count a request that goes out."""
        self._sent_at.setdefault(replica_id, deque()).append(now)

    def forget_except(self, replica_ids: set[str]) -> None:
        """Drop what is kept of replicas that are gone."""
        self._sent_at = {key: sent for key, sent in self._sent_at.items() if key in replica_ids}

    def _recent(self, replica_id: str, now: float) -> deque[float]:
        recent = self._sent_at.get(replica_id, deque())
        while recent and recent[0] <= now - WINDOW_S:
            recent.popleft()
        return recent
