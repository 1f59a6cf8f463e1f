"""Keeps the fronts' joint rate to a replica in slow start below the rate that it sustains.

Only a few of the serving fronts of the replica's region may send to it; every front computes the
same ones. Each of them sends single requests, evenly spaced at its share of the rate. In any second
they send together at most the slow-start rate plus one request per eligible front. Other fronts
send nothing.
"""

import math

import attrs
import xxhash

DEFAULT_BURST_SLACK = 5
RATE_SHARE = 1.0
"""Share of the slow-start rate that all fronts together use. The bound allows half as much again
plus a few requests, which covers bursts caused by network delay and fronts whose lists of members
differ briefly."""


def eligible_fronts(replica_id: str, front_ids: tuple[str, ...], count: int) -> list[str]:
    """Return the ``count`` fronts that rank highest for a replica by rendezvous hash."""

    def weight(front_id: str) -> int:
        return xxhash.xxh64_intdigest(f"{replica_id}/{front_id}".encode())

    return sorted(front_ids, key=weight, reverse=True)[:count]


@attrs.define
class SlowStartLimiter:
    """Limits one front's requests to replicas in slow start.

    ``burst_slack`` is the number of fronts that may send to one replica. ``_next_at`` is the
    earliest monotonic time of this front's next request, by replica id.
    """

    front_id: str
    burst_slack: int = DEFAULT_BURST_SLACK
    _next_at: dict[str, float] = attrs.field(factory=dict)

    def may_send(
        self, replica_id: str, rate_per_s: float, senders: tuple[str, ...], now: float
    ) -> bool:
        """Return whether a request may be sent to a replica in slow start now.

        ``senders`` are the ids of the fronts that serve the replica's region. A rate of 0 means no
        limit.
        """
        if rate_per_s <= 0:
            return True
        if now < self._next_at.get(replica_id, -math.inf):
            return False
        return self.front_id in self._eligible(replica_id, senders)

    def record_send(
        self, replica_id: str, rate_per_s: float, senders: tuple[str, ...], now: float
    ) -> None:
        """Record a request sent to a replica in slow start; it delays this front's next one."""
        if rate_per_s <= 0:
            return
        eligible_count = max(len(self._eligible(replica_id, senders)), 1)
        self._next_at[replica_id] = now + eligible_count / (rate_per_s * RATE_SHARE)

    def forget_except(self, replica_ids: set[str]) -> None:
        """Drop the times of replicas that are not in ``replica_ids``."""
        self._next_at = {key: at for key, at in self._next_at.items() if key in replica_ids}

    def _eligible(self, replica_id: str, senders: tuple[str, ...]) -> list[str]:
        return eligible_fronts(replica_id, senders, max(self.burst_slack, 1))
