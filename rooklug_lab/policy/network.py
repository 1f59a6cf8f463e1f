"""One-way delays between zones, and the count of bytes that cross zones and regions."""

import attrs

from rooklug_lab.policy.credit import Usage
from rooklug_lab.policy.shapes import DelayShape, ZoneShape


@attrs.frozen
class PolicyNetwork:
    """Delays by zone and region; adds transferred bytes to the usage of the run."""

    delays: DelayShape
    usage: Usage

    def delay_s(self, source: ZoneShape, target: ZoneShape) -> float:
        """Return the one-way delay between two zones."""
        if source.name == target.name:
            return self.delays.in_zone_s
        if source.region == target.region:
            return self.delays.between_zones_s
        return self.delays.between_regions_s

    def carry(self, source: ZoneShape, target: ZoneShape, size: float) -> None:
        """Count ``size`` bytes sent between zones; traffic within a zone isn't counted."""
        if source.region != target.region:
            self.usage.bytes_between_regions += size
        elif source.name != target.name:
            self.usage.bytes_between_zones += size
