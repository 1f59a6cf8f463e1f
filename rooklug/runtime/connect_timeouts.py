"""Connect timeouts that grow after each failure, by peer address.

The kernel retransmits a lost SYN (the machine is not up yet, a partition) only after 1 s, so the
first attempt times out earlier and a new one is made. Each failed attempt doubles the timeout of
the next, up to a maximum, so that a peer behind a slow link can still be reached.
"""

import attrs

FIRST_TIMEOUT_S = 0.4
MAX_TIMEOUT_S = 3.2
_GROWTH_FACTOR = 2.0


@attrs.define
class ConnectTimeouts:
    """The timeout of the next connection attempt for each address."""

    _next_timeout_s: dict[str, float] = attrs.field(factory=dict)

    def next_timeout_s(self, address: str) -> float:
        """Return the timeout of the next attempt, in seconds."""
        return self._next_timeout_s.get(address, FIRST_TIMEOUT_S)

    def record_failure(self, address: str) -> None:
        """Double the timeout of the next attempt, up to ``MAX_TIMEOUT_S``."""
        self._next_timeout_s[address] = min(
            self.next_timeout_s(address) * _GROWTH_FACTOR, MAX_TIMEOUT_S
        )

    def record_success(self, address: str) -> None:
        """Reset the timeout to ``FIRST_TIMEOUT_S``."""
        self._next_timeout_s.pop(address, None)
