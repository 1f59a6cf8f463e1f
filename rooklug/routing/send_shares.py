"""A front's share of what all fronts together may send to a replica, from one list of fronts.

The core's list of members says which fronts take the traffic of each region. Those of a
replica's own region share most of the bound, those of all other regions the rest. A standby front
has no share, and one that isn't on the list can't know that others send; a client's request may
reach both all the same.
"""

from enum import Enum

import attrs


class SenderRole(Enum):
    """What a front is to a replica."""

    OWN_REGION = "takes the traffic of the replica's region"
    OTHER_REGION = "takes the traffic of another region"
    STANDBY = "takes no region's traffic"
    NONE = "isn't on the list"


@attrs.frozen
class SendShare:
    """One front's share: its role, and how many fronts of that role share the bound."""

    role: SenderRole
    sharers: int = 1


NO_SHARE = SendShare(SenderRole.NONE)
STANDBY_SHARE = SendShare(SenderRole.STANDBY)


@attrs.frozen
class SendShares:
    """Who takes traffic: node ids of the serving fronts by region, and of all ready fronts."""

    serving: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    ready: frozenset[str] = frozenset()

    def senders(self, region: str) -> tuple[str, ...]:
        """Return the fronts that take the traffic of a region, or all where it has none."""
        return self.serving.get(region) or self._serving_elsewhere(region)

    def towards(self, region: str, node_id: str) -> SendShare:
        """Return a front's share at a replica of ``region``."""
        near = self.senders(region)
        if node_id in near:
            return SendShare(SenderRole.OWN_REGION, len(near))
        others = self._serving_elsewhere(region)
        if node_id in others:
            return SendShare(SenderRole.OTHER_REGION, len(others))
        return STANDBY_SHARE if node_id in self.ready else NO_SHARE

    def _serving_elsewhere(self, region: str) -> tuple[str, ...]:
        return tuple(key for name, keys in self.serving.items() if name != region for key in keys)
