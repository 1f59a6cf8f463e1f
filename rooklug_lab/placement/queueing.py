"""Time to the first token from a simple queue model.

One region's replicas of one model are an M/M/c queue whose servers are the replicas'
concurrent requests. A request carries ``REQUEST_TOKENS`` load tokens; a server works at
its share of the replica's throughput. The wait is exponential with Erlang C's chance of
waiting at all; the first token comes after the wait, the round trip and ``PREFILL_S``.
Load beyond the throughput is refused after ``QUEUE_WAIT_S`` of waiting.
"""

from math import exp

import attrs

REQUEST_TOKENS = 200.0
PREFILL_S = 0.15
QUEUE_WAIT_S = 2.0
NEAR_FULL = 0.995
GRID_S = 0.01
GRID_POINTS = 400


@attrs.frozen
class Station:
    """``replicas`` of one model in one region, offered ``load`` tokens/s."""

    replicas: int
    tokens_per_s: float
    concurrency: int
    load: float

    @property
    def capacity(self) -> float:
        """The most it can serve (tokens/s)."""
        return self.replicas * self.tokens_per_s


@attrs.frozen
class Wait:
    """P(wait > t) = ``chance`` * exp(-``rate`` * t), at most ``QUEUE_WAIT_S``."""

    chance: float
    rate: float


def wait_of(station: Station) -> Wait:
    """Return the waiting time's distribution at a station with at least one replica."""
    servers = station.replicas * station.concurrency
    use = station.load / station.capacity
    if use >= NEAR_FULL:
        return Wait(1.0, 0.0)
    service_s = REQUEST_TOKENS * station.concurrency / station.tokens_per_s
    return Wait(_erlang_c(servers, use * servers), servers * (1.0 - use) / service_s)


def _erlang_c(servers: int, offered: float) -> float:
    blocking = 1.0
    for count in range(1, servers + 1):
        blocking = offered * blocking / (count + offered * blocking)
    use = offered / servers
    return blocking / (1.0 - use + use * blocking)


class FirstTokenTimes:
    """The mixture of many stations' first-token times, weighted by requests."""

    def __init__(self) -> None:
        self._above = [0.0] * GRID_POINTS
        self._weight = 0.0

    def add(self, wait: Wait, round_trip_s: float, weight: float) -> None:
        """Add ``weight`` requests that wait like ``wait`` at that distance."""
        self._weight += weight
        shift = PREFILL_S + round_trip_s
        for point in range(GRID_POINTS):
            waited = point * GRID_S - shift
            if waited < 0:
                share = 1.0
            elif waited >= QUEUE_WAIT_S:
                break
            else:
                share = wait.chance * exp(-wait.rate * waited)
                if share < 1e-5:
                    break
            self._above[point] += weight * share

    def quantile(self, share: float) -> float:
        """Return the time (seconds) that ``share`` of the requests don't exceed."""
        for point, above in enumerate(self._above):
            if above <= (1.0 - share) * self._weight:
                return point * GRID_S
        return GRID_POINTS * GRID_S
