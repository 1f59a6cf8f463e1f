"""Guards the published replica list against a sudden loss of most replicas.

A platform that has just restarted, or that is disconnected from its own data sources, may return a
list that is empty or lacks most replicas. Publishing it would take them all out of service, while
keeping a replica that is really gone costs only a few failed connections. So a sudden loss is
published only after it has lasted ``RETAIN_S``. Leaving marks are published at once.
"""

import attrs

from rooklug.wire.generated.control.ttypes import ListedReplica

SUSPICIOUS_SHARE = 0.5
SUSPICIOUS_MINIMUM = 2
"""A loss is suspicious if it exceeds this share and has at least this many replicas.

The minimum does not apply to an empty list.
"""
RETAIN_S = 10.0


@attrs.frozen
class GuardedListing:
    """The list to publish.

    ``retained`` are the ids of replicas that are kept although the platform no longer lists them.
    """

    replicas: tuple[ListedReplica, ...]
    retained: tuple[str, ...]


@attrs.define
class ListingGuard:
    """Keeps suddenly missing replicas for ``RETAIN_S``, counted from the first suspicious list."""

    _missing_since: float | None = None

    def apply(
        self,
        published: tuple[ListedReplica, ...],
        listed: tuple[ListedReplica, ...],
        now: float,
    ) -> GuardedListing:
        """Return what to publish, given the published replicas and those ``listed`` at ``now``."""
        listed_ids = {replica.replica_id for replica in listed}
        remaining = [replica for replica in published if not replica.leaving]
        missing = [replica for replica in remaining if replica.replica_id not in listed_ids]
        if not self._is_suspicious(len(missing), len(remaining), any_listed=bool(listed)):
            self._missing_since = None
            return GuardedListing(listed, ())
        if self._missing_since is None:
            self._missing_since = now
        if now - self._missing_since >= RETAIN_S:
            self._missing_since = None
            return GuardedListing(listed, ())
        merged = sorted((*listed, *missing), key=lambda replica: replica.replica_id)
        return GuardedListing(tuple(merged), tuple(replica.replica_id for replica in missing))

    @staticmethod
    def _is_suspicious(missing: int, remaining: int, *, any_listed: bool) -> bool:
        enough = missing >= SUSPICIOUS_MINIMUM or not any_listed
        return enough and missing > remaining * SUSPICIOUS_SHARE
