"""A front's share of the rate at which all fronts together may send to a replica.

The core's list of members determines which fronts serve each region. The serving fronts of a
replica's own region share most of the bound, those of all other regions the rest. Neither a standby
front nor a front that is not on the list has a share, although either may still receive a client's
request.
"""

from enum import Enum

import attrs


class SenderRole(Enum):
    """A front's relation to a replica; it determines the front's part of the rate bound."""

    OWN_REGION = "takes the traffic of the replica's region"
    OTHER_REGION = "takes the traffic of another region"
    STANDBY = "takes no region's traffic"
    NONE = "isn't on the list"


@attrs.frozen
class SendShare:
    """One front's share: its role, and the number of fronts with that role for the replica."""

    role: SenderRole
    sharers: int = 1


NO_SHARE = SendShare(SenderRole.NONE)
STANDBY_SHARE = SendShare(SenderRole.STANDBY)


@attrs.frozen
class SendShares:
    """Node ids of the serving fronts by region, and of all ready fronts."""

    serving: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    ready: frozenset[str] = frozenset()

    def senders(self, region: str) -> tuple[str, ...]:
        """Return the serving fronts of a region; if it has none, those of all other regions."""
        return self.serving.get(region) or self._serving_elsewhere(region)

    def towards(self, region: str, node_id: str) -> SendShare:
        """Return a front's share at the replicas of ``region``."""
        near = self.senders(region)
        if node_id in near:
            return SendShare(SenderRole.OWN_REGION, len(near))
        others = self._serving_elsewhere(region)
        if node_id in others:
            return SendShare(SenderRole.OTHER_REGION, len(others))
        return STANDBY_SHARE if node_id in self.ready else NO_SHARE

    def _serving_elsewhere(self, region: str) -> tuple[str, ...]:
        return tuple(key for name, keys in self.serving.items() if name != region for key in keys)
