"""The gateway's configuration as types; ``document_reader`` reads it from JSON."""

from enum import Enum

import attrs


class Execution(Enum):
    """How often a route's requests may run, and what their answers are."""

    IDEMPOTENT = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    EVENT_STREAM = "event_stream"


@attrs.frozen
class ServiceShare:
    """One service of a route and its weight among them."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix may go. ``home_regions`` empty: anywhere."""

    name: str
    host: str
    prefix: str
    execution: Execution
    timeout_s: float
    latency_objective_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_replicas: int = 1
    affinity: bool = False
    resumable: bool = False
    gap_objective_s: float = 0.0
    home_regions: tuple[str, ...] = ()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.execution is Execution.IDEMPOTENT or (
            self.execution is Execution.EVENT_STREAM and self.resumable
        )


@attrs.frozen
class Engine:
    """What a service says of its model replicas. ``key_value_tokens`` is a replica's memory."""

    slots: int
    key_value_tokens: int


@attrs.frozen
class Service:
    """A pool of replicas.

    ``slow_start_rate_per_s`` is what a replica in slow start bears; 0 means no limit.
    """

    name: str
    health_path: str
    max_connections: int
    slow_start_rate_per_s: float = 0.0
    engine: Engine | None = None


@attrs.frozen
class GatewayConfiguration:
    """A complete configuration. ``routes`` are found by host, then by prefix."""

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, Service]

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that begins ``path``."""
        by_prefix = self.routes.get(host.partition(":")[0].lower())
        if not by_prefix:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def all_routes(self) -> list[Route]:
        """Return the routes of all hosts."""
        return [route for by_prefix in self.routes.values() for route in by_prefix.values()]

    def hosts_home(self, host: str) -> frozenset[str]:
        """Return the regions that every route of a host allows; empty: not bound."""
        homes = [frozenset(route.home_regions) for route in self.routes.get(host, {}).values()]
        if not homes or not all(homes):
            return frozenset()
        return frozenset.union(*homes)

    def common_homes(self, host: str) -> frozenset[str] | None:
        """Return the regions that all bound routes of a host allow; None: none is bound."""
        bound = [
            frozenset(route.home_regions)
            for route in self.routes.get(host, {}).values()
            if route.home_regions
        ]
        return frozenset.intersection(*bound) if bound else None
