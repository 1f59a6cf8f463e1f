"""A front's share in what all fronts together may send to a replica, from one list of fronts.

The core's list of members says which fronts take the traffic of each region. Those of a
replica's own region share most of the bound, those of all other regions the rest. A front that
stands by has no part in it, and one that doesn't find itself on the list can't even know that
others send: both may have been given a client's request all the same.
"""

from enum import Enum

import attrs


class Side(Enum):
    """Where a front stands towards a replica."""

    OWN_REGION = "takes the traffic of the replica's region"
    OTHER_REGION = "takes the traffic of another region"
    STANDBY = "takes no region's traffic"
    NONE = "isn't on the list"


@attrs.frozen
class SendRight:
    """One front's right: its side, and how many fronts share that side's part."""

    side: Side
    sharers: int = 1


NO_RIGHT = SendRight(Side.NONE)
STANDBY_RIGHT = SendRight(Side.STANDBY)


@attrs.frozen
class SendRights:
    """Who takes traffic: node ids of the serving fronts by region, and of all ready fronts."""

    serving: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    ready: frozenset[str] = frozenset()

    def senders(self, region: str) -> tuple[str, ...]:
        """Return the fronts that take the traffic of a region, or all where it has none."""
        return self.serving.get(region) or self._all_but(region)

    def towards(self, region: str, node_id: str) -> SendRight:
        """Return a front's right at a replica of ``region``."""
        near = self.senders(region)
        if node_id in near:
            return SendRight(Side.OWN_REGION, len(near))
        others = self._all_but(region)
        if node_id in others:
            return SendRight(Side.OTHER_REGION, len(others))
        return STANDBY_RIGHT if node_id in self.ready else NO_RIGHT

    def _all_but(self, region: str) -> tuple[str, ...]:
        return tuple(key for place, keys in self.serving.items() if place != region for key in keys)
