"""A replica as a front knows it."""

import attrs


@attrs.frozen
class GatewayReplica:
    """A replica on the platform's list.

    ``draining`` replicas get no new requests. ``slow_start_until`` is the monotonic end of the
    slow start, 0 for none; until then a replica bears only its service's slow-start rate.
    """

    replica_id: str
    address: str
    service: str
    region: str
    zone: str
    slots: int
    draining: bool
    slow_start_until: float = 0.0

    def is_in_slow_start(self, now: float) -> bool:
        """Return whether it bears only its slow-start rate."""
        return now < self.slow_start_until
