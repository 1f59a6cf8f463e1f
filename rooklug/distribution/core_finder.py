"""Which core to call: the primary if known, else the seeds in turn."""

from random import Random

import attrs

from rooklug.distribution.timing import (
    BACKOFF_FACTOR,
    BACKOFF_FIRST_S,
    BACKOFF_LIMIT_S,
    START_BACKOFF_LIMIT_S,
)


@attrs.define
class CoreFinder:
    """Follows redirects to the primary, moves on when a core fails, and spaces the attempts.

    ``address`` is the core to call now. ``confirmed``: it has answered as the primary.
    ``starting``: this node has no topic from any core yet.
    """

    seeds: tuple[str, ...]
    random: Random
    address: str = ""
    confirmed: bool = False
    starting: bool = False
    _failures: int = 0
    _redirects: int = 0

    def __attrs_post_init__(self) -> None:
        self.address = self.seeds[self.random.randrange(len(self.seeds))]

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Use the present cores in place of the seeds of the settings."""
        if addresses:
            self.seeds = addresses

    def answered_as_primary(self, address: str) -> None:
        """The core at ``address`` has answered as the primary."""
        if address != self.address:
            return
        self.confirmed = True
        self._failures = 0
        self._redirects = 0

    def redirected(self, address: str, primary_address: str) -> float:
        """The core at ``address`` isn't the primary; return the backoff in seconds."""
        if address != self.address:
            return self._short_backoff_s()
        if not primary_address or primary_address == address:
            return self.failed(address)
        self.address = primary_address
        self.confirmed = False
        self._redirects += 1
        # Two cores that name each other must not be called in a hot loop.
        return self._short_backoff_s() if self._redirects == 1 else self._backoff_s()

    def failed(self, address: str) -> float:
        """The core at ``address`` failed or has lost the primary; return the backoff in seconds."""
        if address == self.address:
            self.address = self._after(address)
            self.confirmed = False
        return self._backoff_s()

    def _after(self, address: str) -> str:
        if address not in self.seeds:
            return self.seeds[self.random.randrange(len(self.seeds))]
        return self.seeds[(self.seeds.index(address) + 1) % len(self.seeds)]

    def _short_backoff_s(self) -> float:
        return self.random.uniform(0.0, BACKOFF_FIRST_S)

    def _backoff_s(self) -> float:
        limit_s = START_BACKOFF_LIMIT_S if self.starting else BACKOFF_LIMIT_S
        backoff_s = min(BACKOFF_FIRST_S * BACKOFF_FACTOR**self._failures, limit_s)
        self._failures = min(self._failures + 1, 16)
        return backoff_s * self.random.uniform(0.5, 1.0)
