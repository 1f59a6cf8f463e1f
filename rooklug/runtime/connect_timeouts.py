"""How long a connection to a peer may take to be established, in seconds.

A first packet that is lost (a machine that is not up yet, a cut) is sent again by the kernel
only after a second, so the first try is given up early and made anew. Each try that was given
up doubles the time for the next one, so that a peer behind a slow link is still reached.
"""

import attrs

FIRST_DEADLINE_S = 0.4
LAST_DEADLINE_S = 3.2
_FACTOR = 2.0


@attrs.define
class ConnectTimeouts:
    """The deadline of the next try, by address."""

    _longer: dict[str, float] = attrs.field(factory=dict)

    def next(self, address: str) -> float:
        """Return the deadline of a try that begins now."""
        return self._longer.get(address, FIRST_DEADLINE_S)

    def failed(self, address: str) -> None:
        """Give the next try more time."""
        self._longer[address] = min(self.next(address) * _FACTOR, LAST_DEADLINE_S)

    def connected(self, address: str) -> None:
        """Begin anew with the first deadline."""
        self._longer.pop(address, None)
