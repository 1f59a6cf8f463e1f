"""The types of the operators' configuration document.

The field names are the keys of the JSON document. ``rooklug.config.document_reader``
converts bytes to a ``Configuration`` or to a list of problems with their paths.
"""

from enum import Enum

import attrs


class RoundTrip(Enum):
    """Maximum round trip of a latency class: the four categories of GSP."""

    REGIONAL = "regional"
    ZONAL = "zonal"
    CONTINENTAL = "continental"
    GLOBAL = "global"

    @property
    def limit_ms(self) -> float:
        """The maximum round trip, in milliseconds, between a client and a replica."""
        return {"regional": 1.0, "zonal": 20.0, "continental": 70.0, "global": 200.0}[self.value]


class RouteKind(Enum):
    """Whether a route's requests go to replicas of a model or at most once to a back end."""

    MODEL = "model"
    ONCE = "once"


@attrs.frozen
class RegionWeights:
    """How much of a region's capacity serves its own traffic, serves spillover, or stays free.

    ``serve`` scales the region's capacity for its own traffic (1.0: all of it), ``spill`` is
    the share of its capacity that traffic of other regions may use (0..1), ``reserve`` the
    share that the planner leaves free (0..0.95).
    """

    serve: float = 1.0
    spill: float = 0.5
    reserve: float = 0.1


@attrs.frozen
class Region:
    """A region: its zones, its weights, and its round trip in ms to each other region."""

    zones: tuple[str, ...]
    weights: RegionWeights = RegionWeights()
    round_trip_ms: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class ResourceNeed:
    """What one replica of a model needs of a resource type, and the load it then sustains.

    ``units`` is the amount of the resource per replica, ``tokens_per_s`` the sustained
    throughput (prompt tokens / 8 + answer tokens), ``concurrency`` the number of concurrent
    requests and ``load_s`` the expected time to load the model.
    """

    units: float
    tokens_per_s: float
    concurrency: int = 8
    load_s: float = 5.0


@attrs.frozen
class Model:
    """Placement requirements of a model; models with a low ``priority`` are evicted first."""

    latency_classes: dict[str, RoundTrip]
    resources: dict[str, ResourceNeed]
    priority: int = 0


@attrs.frozen
class Route:
    """How one kind of request is served.

    Requests are served, cached and transported only in ``home_regions``; if it is empty, in any
    region. Model routes set ``model`` and ``latency_class``; once-only routes set ``backend``.
    """

    kind: RouteKind
    model: str = ""
    latency_class: str = ""
    backend: str = ""
    home_regions: tuple[str, ...] = ()
    deadline_s: float = 30.0
    priority: int = 0
    tenant: str = ""


@attrs.frozen
class Limits:
    """Limits that each front applies; ``retry_share`` is a budget: retries per first attempt."""

    retry_share: float = 0.1
    queue_length: int = 64
    queue_wait_s: float = 2.0
    affinity_bound: float = 1.25


@attrs.frozen
class SlowStart:
    """Slow start of a replica: its share grows from ``first_share`` to 1 over ``duration_s``."""

    first_share: float = 0.05
    duration_s: float = 10.0


class Readiness(Enum):
    """The failure domain whose loss a plan has headroom for (GSP's disaster readiness)."""

    NONE = "none"
    ZONE = "zone"
    REGION = "region"


@attrs.frozen
class Placement:
    """Intervals and limits of the placer, and the failure domain it plans headroom for."""

    solve_interval_s: float = 5.0
    solve_limit_s: float = 1.5
    max_moves: int = 8
    max_loading: int = 2
    load_timeout_factor: float = 3.0
    readiness: Readiness = Readiness.ZONE


@attrs.frozen
class Configuration:
    """A complete configuration document; it replaces the previous version as a whole."""

    regions: dict[str, Region]
    models: dict[str, Model]
    routes: dict[str, Route]
    limits: Limits = Limits()
    slow_start: SlowStart = SlowStart()
    placement: Placement = Placement()

    def region_of_zone(self, zone: str) -> str:
        """Return the name of the region that lists ``zone``, or "" if none does."""
        for name, region in self.regions.items():
            if zone in region.zones:
                return name
        return ""
