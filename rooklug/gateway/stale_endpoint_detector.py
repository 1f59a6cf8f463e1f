"""Detects a stale list of replicas from addresses that answer as a different replica.

When a zone or region recovers from a failure, its replicas restart with new ids, which the list
shows only after its lag. Until then, each listed address leads to a replica that rejects the
request. One such mismatch means that this replica has been replaced; a second one in the same zone
makes all entries of the zone suspect, until a newer list arrives or a replica answers under its
listed id.
"""

import attrs

MISMATCHES_FOR_SUSPICION = 2
"""Number of replaced replicas in a zone that makes the zone's other entries suspect."""


@attrs.define
class StaleEndpointDetector:
    """One front's observations that contradict or confirm its list of replicas.

    ``_replaced`` maps the id of each replica whose address answered as a different one to its zone.
    An id identifies one start of a replica, so a replaced id never returns. ``_confirmed`` contains
    the ids of replicas that have answered under their id since the first mismatch.
    """

    _replaced: dict[str, str] = attrs.field(factory=dict)
    _confirmed: set[str] = attrs.field(factory=set)

    def record_mismatch(self, replica_id: str, zone: str) -> None:
        """Record that a replica's address answered as a different replica."""
        self._replaced[replica_id] = zone

    def record_match(self, replica_id: str) -> None:
        """Record that a replica has answered under its listed id."""
        if self._replaced:
            self._confirmed.add(replica_id)

    def is_replaced(self, replica_id: str) -> bool:
        """Return whether a different replica has answered at this replica's address."""
        return replica_id in self._replaced

    def is_suspect(self, replica_id: str, zone: str) -> bool:
        """Return whether an entry is unconfirmed and probably stale, like others in its zone."""
        if not self._replaced or replica_id in self._confirmed:
            return False
        replaced_in_zone = sum(other == zone for other in self._replaced.values())
        return replaced_in_zone >= MISMATCHES_FOR_SUSPICION

    def take_list(self, replica_ids: set[str]) -> None:
        """Apply a newer list: drop the records of replicas that it no longer contains."""
        self._replaced = {key: zone for key, zone in self._replaced.items() if key in replica_ids}
        self._confirmed &= replica_ids
        if not self._replaced:
            self._confirmed.clear()
