"""How long a connection to a peer may take to be established, in seconds.

A first packet that is lost (a machine that is not up yet, a partition) is sent again by the
kernel only after a second, so the first attempt is given up early and repeated. Each attempt
that timed out doubles the time for the next one, so that a peer behind a slow link is still
reached.
"""

import attrs

FIRST_TIMEOUT_S = 0.4
MAX_TIMEOUT_S = 3.2
_FACTOR = 2.0


@attrs.define
class ConnectTimeouts:
    """The timeout of the next attempt, by address."""

    _extended_s: dict[str, float] = attrs.field(factory=dict)

    def next(self, address: str) -> float:
        """Return the timeout of an attempt that begins now, in seconds."""
        return self._extended_s.get(address, FIRST_TIMEOUT_S)

    def failed(self, address: str) -> None:
        """Double the timeout of the next attempt."""
        self._extended_s[address] = min(self.next(address) * _FACTOR, MAX_TIMEOUT_S)

    def connected(self, address: str) -> None:
        """Return to the first timeout."""
        self._extended_s.pop(address, None)
