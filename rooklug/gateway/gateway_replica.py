"""A front's record of one replica on the platform's list."""

import attrs


@attrs.frozen
class GatewayReplica:
    """A listed replica; one ``replica_id`` identifies one start of its process.

    ``draining`` replicas get no new requests. ``slots`` is the number of requests that it runs at
    once. ``slow_start_until`` is the monotonic time at which its slow start ends, 0 for none; until
    then it sustains only its service's slow-start rate.
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
        """Return whether the slow start has not ended yet."""
        return now < self.slow_start_until
