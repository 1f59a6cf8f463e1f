"""The operators' configuration document as types.

The JSON document has these names as its keys, level by level. ``rooklug.config.document_reader``
turns bytes into a ``Configuration`` or a list of problems with their paths.
"""

from enum import Enum

import attrs


class RoundTrip(Enum):
    """Round-trip thresholds of a latency class (GSP's four categories)."""

    REGIONAL = "regional"
    ZONAL = "zonal"
    CONTINENTAL = "continental"
    GLOBAL = "global"

    @property
    def limit_ms(self) -> float:
        """The largest round trip, in milliseconds, that a client may have to a replica."""
        return {"regional": 1.0, "zonal": 20.0, "continental": 70.0, "global": 200.0}[self.value]


class RouteKind(Enum):
    """What a route carries."""

    MODEL = "model"
    ONCE = "once"


@attrs.frozen
class RegionWeights:
    """How much a region should serve, take over from others, and hold in reserve.

    ``serve`` scales the region's capacity for its own traffic (1.0: all of it), ``spill`` is
    the share of its capacity that other regions' traffic may use (0..1), ``reserve`` the
    share that the planner leaves free (0..1).
    """

    serve: float = 1.0
    spill: float = 0.5
    reserve: float = 0.1


@attrs.frozen
class Region:
    """One region: its zones, weights, and round trips (ms) to the other regions."""

    zones: tuple[str, ...]
    weights: RegionWeights = RegionWeights()
    round_trip_ms: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class ResourceNeed:
    """What one replica of a model needs of a resource type, and what it then serves.

    ``units`` of the resource a replica; ``tokens_per_s`` (prompt/8 + answer tokens) it
    sustains; ``concurrency`` requests at once; ``load_s`` the usual time to load.
    """

    units: float
    tokens_per_s: float
    concurrency: int = 8
    load_s: float = 5.0


@attrs.frozen
class Model:
    """A model's placement spec: no region names. A higher ``priority`` is evicted later."""

    latency_classes: dict[str, RoundTrip]
    resources: dict[str, ResourceNeed]
    priority: int = 0


@attrs.frozen
class Route:
    """One kind of request.

    ``home_regions`` empty: any region. Else it is served, cached and carried only there.
    Model routes name ``model`` and ``latency_class``; once-only routes name ``backend``.
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
    """Limits a front applies. ``retry_share``: retries per first attempt, as a budget."""

    retry_share: float = 0.1
    queue_length: int = 64
    queue_wait_s: float = 2.0
    affinity_bound: float = 1.25


@attrs.frozen
class SlowStart:
    """Slow start: a share grows from ``first_share`` to 1 over ``duration_s``."""

    first_share: float = 0.05
    duration_s: float = 10.0


class Readiness(Enum):
    """The loss that a plan should have headroom for (GSP's disaster readiness)."""

    NONE = "none"
    ZONE = "zone"
    REGION = "region"


@attrs.frozen
class Placement:
    """Pace of the placer, and the loss it plans headroom for."""

    solve_interval_s: float = 5.0
    solve_limit_s: float = 1.5
    max_moves: int = 8
    max_loading: int = 2
    load_timeout_factor: float = 3.0
    readiness: Readiness = Readiness.ZONE


@attrs.frozen
class Configuration:
    """A complete configuration document."""

    regions: dict[str, Region]
    models: dict[str, Model]
    routes: dict[str, Route]
    limits: Limits = Limits()
    slow_start: SlowStart = SlowStart()
    placement: Placement = Placement()

    def region_of_zone(self, zone: str) -> str:
        """Return the region that lists ``zone``, or ""."""
        for name, region in self.regions.items():
            if zone in region.zones:
                return name
        return ""
