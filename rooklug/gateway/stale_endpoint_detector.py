"""Detects that the list of replicas is stale, from addresses that answer as another replica.

After the loss of a zone or a region its replicas come back under new identifiers, and the list
shows it only after its lag. Until then each of its entries leads to a replica that rejects the
request. One such mismatch is a replica that was replaced; a second one in the same zone makes all
entries of that zone suspect, until a newer list comes or the replica answers under its id.
"""

import attrs

MISMATCHES_FOR_SUSPICION = 2
"""Replaced replicas of a zone from which on the zone's other entries are suspect."""


@attrs.define
class StaleEndpointDetector:
    """What one front has learned against the list that it holds.

    ``_replaced`` maps the id of a replica whose address answered as another one to its zone. An
    id names one start of a replica, so a replaced one never comes back. ``_confirmed`` are
    replicas that have answered under their id since the first mismatch.
    """

    _replaced: dict[str, str] = attrs.field(factory=dict)
    _confirmed: set[str] = attrs.field(factory=set)

    def record_mismatch(self, replica_id: str, zone: str) -> None:
        """Note that the address of a replica answered as another one."""
        self._replaced[replica_id] = zone

    def record_match(self, replica_id: str) -> None:
        """Note that a replica has answered under its id."""
        if self._replaced:
            self._confirmed.add(replica_id)

    def is_replaced(self, replica_id: str) -> bool:
        """Return whether this start of a replica is over."""
        return replica_id in self._replaced

    def is_suspect(self, replica_id: str, zone: str) -> bool:
        """Return whether an entry is probably as stale as others of its zone were."""
        if not self._replaced or replica_id in self._confirmed:
            return False
        replaced_in_zone = sum(other == zone for other in self._replaced.values())
        return replaced_in_zone >= MISMATCHES_FOR_SUSPICION

    def take_list(self, replica_ids: set[str]) -> None:
        """Go on under a newer list: what it no longer names is forgotten."""
        self._replaced = {key: zone for key, zone in self._replaced.items() if key in replica_ids}
        self._confirmed &= replica_ids
        if not self._replaced:
            self._confirmed.clear()
