"""Keeps what all fronts together send to a replica in slow start under the rate that it bears.

Only a few of the fronts that take the traffic of the replica's region send to it, chosen alike by
every front. Each of them sends at its share of the rate, one request at a time: in any second all
together send at most the slow-start rate and one request for each of those fronts. A front that
is not among them sends nothing.
"""

import math

import attrs
import xxhash

DEFAULT_BURST_SLACK = 5
RATE_SHARE = 1.0
"""Share of the rate that all fronts together send at. The bound allows half as much again and a few
requests more, which covers bursts from network delay and lists of fronts that differ briefly."""


def eligible_fronts(replica_id: str, front_ids: tuple[str, ...], count: int) -> list[str]:
    """Return the fronts that may send to a replica: the highest by rendezvous hash."""

    def weight(front_id: str) -> int:
        return xxhash.xxh64_intdigest(f"{replica_id}/{front_id}".encode())

    return sorted(front_ids, key=weight, reverse=True)[:count]


@attrs.define
class SlowStartLimiter:
    """One front's sends to replicas in slow start.

    ``burst_slack`` is the number of fronts that send to one replica. ``_next_at`` is the earliest
    monotonic time of this front's next request, by replica id.
    """

    front_id: str
    burst_slack: int = DEFAULT_BURST_SLACK
    _next_at: dict[str, float] = attrs.field(factory=dict)

    def may_send(
        self, replica_id: str, rate_per_s: float, senders: tuple[str, ...], now: float
    ) -> bool:
        """Return whether a request may go to a replica in slow start now.

        ``senders`` are the fronts that take the traffic of the replica's region.
        """
        if rate_per_s <= 0:
            return True
        if now < self._next_at.get(replica_id, -math.inf):
            return False
        return self.front_id in self._eligible(replica_id, senders)

    def record_send(
        self, replica_id: str, rate_per_s: float, senders: tuple[str, ...], now: float
    ) -> None:
        """Count a request that goes to a replica in slow start."""
        if rate_per_s <= 0:
            return
        eligible_count = max(len(self._eligible(replica_id, senders)), 1)
        self._next_at[replica_id] = now + eligible_count / (rate_per_s * RATE_SHARE)

    def forget_except(self, replica_ids: set[str]) -> None:
        """Drop what is held of replicas that are gone."""
        self._next_at = {key: at for key, at in self._next_at.items() if key in replica_ids}

    def _eligible(self, replica_id: str, senders: tuple[str, ...]) -> list[str]:
        return eligible_fronts(replica_id, senders, max(self.burst_slack, 1))
