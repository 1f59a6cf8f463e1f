"""Doubt about the list of replicas: an address that answers as another replica proves it old.

After the loss of a zone or a region its replicas come back under new identifiers, and the list
tells so only after its lag. Until then each of its entries leads to a replica that rejects the
request. One such entry is a replica that was replaced; a second one in the same zone makes all
entries of that zone doubtful until a newer list comes or the replica answers.
"""

import attrs

DISPROVED_FOR_DOUBT = 2
"""Replicas of a zone that must have been disproved before the others are doubted."""


@attrs.define
class ListDoubt:
    """What one front has learned against the list that it holds.

    ``_disproved`` maps a replica id that its address denied to its zone; an id names one start
    of a replica, so a denied one never comes back. ``_proved`` are replicas that have answered
    under their id since the doubt of their zone began.
    """

    _disproved: dict[str, str] = attrs.field(factory=dict)
    _proved: set[str] = attrs.field(factory=set)

    def disprove(self, replica_id: str, zone: str) -> None:
        """Note that the address of a replica answered as another one."""
        self._disproved[replica_id] = zone

    def prove(self, replica_id: str) -> None:
        """Note that a replica has answered under its id."""
        if self._disproved:
            self._proved.add(replica_id)

    def is_gone(self, replica_id: str) -> bool:
        """Tell whether this start of a replica is over."""
        return replica_id in self._disproved

    def is_doubtful(self, replica_id: str, zone: str) -> bool:
        """Tell whether an entry is probably as old as its neighbours were."""
        if not self._disproved or replica_id in self._proved:
            return False
        denied = sum(place == zone for place in self._disproved.values())
        return denied >= DISPROVED_FOR_DOUBT

    def take_list(self, replica_ids: set[str]) -> None:
        """Go on under a newer list: what it no longer names is forgotten."""
        self._disproved = {key: zone for key, zone in self._disproved.items() if key in replica_ids}
        self._proved &= replica_ids
        if not self._disproved:
            self._proved.clear()
