"""A replica as a front knows it."""

import attrs


@attrs.frozen
class GatewayReplica:
    """A listed replica. ``cold_until``: monotonic end of its slow start, 0 when it is warm."""

    replica_id: str
    address: str
    service: str
    region: str
    zone: str
    slots: int
    leaving: bool
    cold_until: float = 0.0

    def is_cold(self, now: float) -> bool:
        """Tell whether it bears only its cold rate."""
        return now < self.cold_until
