"""Selects the core to call: the primary if it is known, else the seeds in turn."""

from random import Random

import attrs

from rooklug.distribution.timing import (
    BACKOFF_FACTOR,
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_STARTING_BACKOFF_S,
)


@attrs.define
class CoreFinder:
    """Follows redirects to the primary, fails over to the next core, and computes the backoff.

    ``address`` is the core to call now; ``confirmed`` says whether it has answered as the
    primary. ``starting`` is true until this node has its first topic from a core. Outcomes of
    calls to another address than the present one don't change ``address``.
    """

    seeds: tuple[str, ...]
    random: Random
    address: str = ""
    confirmed: bool = False
    starting: bool = False
    _failures: int = 0
    _redirects: int = 0

    def __attrs_post_init__(self) -> None:
        self.seeds = _distinct(self.seeds)
        self.address = self.seeds[self.random.randrange(len(self.seeds))]

    def update_seeds(self, addresses: tuple[str, ...]) -> None:
        """Replace the seeds by the addresses of the present cores, unless none are given."""
        if addresses:
            self.seeds = _distinct(addresses)

    def record_primary_answer(self, address: str) -> None:
        """Confirm the core at ``address`` as the primary, and reset the backoff."""
        if address != self.address:
            return
        self.confirmed = True
        self._failures = 0
        self._redirects = 0

    def record_redirect(self, address: str, primary_address: str) -> float:
        """Follow the redirect of a core that isn't the primary; return the backoff in seconds."""
        if address != self.address:
            return self._short_backoff_s()
        if not primary_address or primary_address == address:
            return self.record_failure(address)
        self.address = primary_address
        self.confirmed = False
        self._redirects += 1
        # Without backoff, two cores that redirect to each other would be called in a hot loop.
        return self._short_backoff_s() if self._redirects == 1 else self._backoff_s()

    def record_failure(self, address: str) -> float:
        """Move on from a core that failed or knows no primary; return the backoff in seconds."""
        if address == self.address:
            self.address = self._next_seed(address)
            self.confirmed = False
        return self._backoff_s()

    def _next_seed(self, address: str) -> str:
        if address not in self.seeds:
            return self.seeds[self.random.randrange(len(self.seeds))]
        return self.seeds[(self.seeds.index(address) + 1) % len(self.seeds)]

    def _short_backoff_s(self) -> float:
        return self.random.uniform(0.0, INITIAL_BACKOFF_S)

    def _backoff_s(self) -> float:
        limit_s = MAX_STARTING_BACKOFF_S if self.starting else MAX_BACKOFF_S
        backoff_s = min(INITIAL_BACKOFF_S * BACKOFF_FACTOR**self._failures, limit_s)
        self._failures = min(self._failures + 1, 16)
        return backoff_s * self.random.uniform(0.5, 1.0)


def _distinct(addresses: tuple[str, ...]) -> tuple[str, ...]:
    """Return each address once: the search goes on from the first place of the present one."""
    return tuple(dict.fromkeys(addresses))
