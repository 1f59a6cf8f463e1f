"""Detects shards whose claims have not been granted for a while.

During such an outage, new requests are answered at once instead of waiting in vain.
"""

import attrs

from rooklug.front.once_only.limits import OUTAGE_AFTER_S, OUTAGE_RESET_AFTER_S


@attrs.define
class _Outage:
    """First and last of a series of consecutive failures to get a claim of one shard."""

    since: float
    last: float


class Outages:
    """Current series of failures by shard."""

    def __init__(self) -> None:
        self._by_shard: dict[int, _Outage] = {}

    def record_failure(self, shard: int, now: float) -> bool:
        """Record a claim request without a grant; return whether the outage has lasted.

        An outage lasts from ``OUTAGE_AFTER_S`` of consecutive failures on. Failures that are more
        than ``OUTAGE_RESET_AFTER_S`` apart don't belong together.
        """
        outage = self._by_shard.get(shard)
        if outage is None or now - outage.last > OUTAGE_RESET_AFTER_S:
            outage = self._by_shard[shard] = _Outage(now, now)
        outage.last = now
        return now - outage.since >= OUTAGE_AFTER_S

    def record_grant(self, shard: int) -> None:
        """Record that a claim of the shard was granted, which ends its outage."""
        self._by_shard.pop(shard, None)
