"""Types of the gateway's configuration; ``document_reader`` reads them from JSON."""

from enum import Enum

import attrs


class Execution(Enum):
    """Whether a route's requests may run more than once, and whether responses are streams."""

    IDEMPOTENT = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    EVENT_STREAM = "event_stream"


@attrs.frozen
class ServiceShare:
    """One of a route's services and its weight relative to the others."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests of one host and path prefix are handled.

    ``max_replicas`` is the maximum number of replicas that one request may be sent to.
    ``affinity`` routes prompts that share blocks to the same replica. ``resumable`` streams may be
    continued on another replica. An empty ``home_regions`` allows all regions.
    """

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
        """Whether a request that may already have run may be sent again."""
        return self.execution is Execution.IDEMPOTENT or (
            self.execution is Execution.EVENT_STREAM and self.resumable
        )


@attrs.frozen
class Engine:
    """Size of each model replica of a service; ``key_value_tokens`` is its KV cache capacity."""

    slots: int
    key_value_tokens: int


@attrs.frozen
class Service:
    """A pool of interchangeable replicas.

    ``slow_start_rate_per_s`` is the request rate that a replica in slow start sustains; 0 means no
    limit. ``engine`` is None for services that are not language models.
    """

    name: str
    health_path: str
    max_connections: int
    slow_start_rate_per_s: float = 0.0
    engine: Engine | None = None


@attrs.frozen
class GatewayConfiguration:
    """A complete configuration: ``routes`` by host and prefix, ``services`` by name."""

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, Service]
    _longest_prefix: dict[str, int] = attrs.field(init=False, repr=False, eq=False)

    @_longest_prefix.default
    def _measure_prefixes(self) -> dict[str, int]:
        return {host: max(map(len, by_prefix)) for host, by_prefix in self.routes.items()}

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of ``path`` that ends with "/"."""
        name = host.partition(":")[0].lower()
        by_prefix = self.routes.get(name)
        if not by_prefix:
            return None
        # A path of 64 KiB may consist of slashes only; none beyond the longest prefix matters.
        end = min(len(path), self._longest_prefix[name])
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def all_routes(self) -> list[Route]:
        """Return the routes of all hosts as one list."""
        return [route for by_prefix in self.routes.values() for route in by_prefix.values()]

    def host_home_regions(self, host: str) -> frozenset[str]:
        """Return the union of the home regions of a host's routes.

        Empty if any route of the host is unbound, or if the host is unknown.
        """
        homes = [frozenset(route.home_regions) for route in self.routes.get(host, {}).values()]
        if not homes or not all(homes):
            return frozenset()
        return frozenset.union(*homes)

    def common_home_regions(self, host: str) -> frozenset[str] | None:
        """Return the home regions that all bound routes of a host share; None if none is bound."""
        bound = [
            frozenset(route.home_regions)
            for route in self.routes.get(host, {}).values()
            if route.home_regions
        ]
        return frozenset.intersection(*bound) if bound else None
