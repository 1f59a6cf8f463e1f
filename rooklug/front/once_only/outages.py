"""Notices that no claim of a shard can be had for long, so that new requests don't wait in vain."""

import attrs

from rooklug.front.once_only.limits import OUTAGE_AFTER_S, OUTAGE_RESET_AFTER_S


@attrs.define
class _Outage:
    """Consecutive attempts without a grant."""

    since: float
    last: float


class Outages:
    """Consecutive failed attempts, by shard."""

    def __init__(self) -> None:
        self._by_shard: dict[int, _Outage] = {}

    def record_failure(self, shard: int, now: float) -> bool:
        """Count an attempt without a grant; return whether the outage has lasted."""
        outage = self._by_shard.get(shard)
        if outage is None or now - outage.last > OUTAGE_RESET_AFTER_S:
            outage = self._by_shard[shard] = _Outage(now, now)
        outage.last = now
        return now - outage.since >= OUTAGE_AFTER_S

    def record_grant(self, shard: int) -> None:
        """Note that a claim of the shard was granted."""
        self._by_shard.pop(shard, None)
