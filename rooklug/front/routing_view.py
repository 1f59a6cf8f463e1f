"""A front's routing view: an immutable snapshot of routes, fronts, replicas and routing matrix.

``RoutingViewComponent`` (``rooklug.front.view_component``) builds a new one at each topic change.
Components read its ``view`` anew for each decision and must not keep a snapshot between requests.

The once-only subpackage uses ``once_replicas``, ``route``, ``region_of_caller``, ``fronts_in``
and ``serves_home``.
"""

from collections.abc import Iterable, Mapping

import attrs

from rooklug.config.document import Configuration, Limits, Route
from rooklug.wire.generated.control.ttypes import (
    ListedReplica,
    NodeRecord,
    PlanBody,
)

REGION_HEADER = "x-rooklug-region"
FRONT_ROLE = "front"


@attrs.frozen
class ServingReplica:
    """A model replica that may get requests.

    ``concurrency`` is the number of requests that it reports to run at once.
    """

    replica_id: str
    address: str
    region: str
    zone: str
    incarnation: str
    concurrency: int
    warming_up: bool
    healthy: bool = True


@attrs.frozen
class FrontNode:
    """A front that accepts requests. ``address`` is that of its HTTP interface."""

    node_id: str
    address: str
    zone: str
    region: str


@attrs.frozen
class Destination:
    """A region that traffic may go to; ``weight`` is relative to the others of its level."""

    region: str
    weight: float


@attrs.frozen
class MatrixKey:
    """Lookup key of the routing matrix; ``home_regions`` are sorted, () for unbound routes."""

    model: str
    latency_class: str
    source_region: str
    home_regions: tuple[str, ...]


DestinationLevels = tuple[tuple[Destination, ...], ...]


@attrs.frozen
class ViewSources:
    """Topic bodies that a view is built from; None for a topic that has not arrived yet."""

    configuration: Configuration | None = None
    configuration_version: int = 0
    drained_zones: frozenset[str] = frozenset()
    nodes: tuple[NodeRecord, ...] = ()
    replicas: tuple[ListedReplica, ...] | None = None
    plan: PlanBody | None = None


@attrs.frozen
class RoutingView:
    """Snapshot for one front; built by ``build_routing_view``.

    ``loaded_unplanned`` are pairs of replica id and model where the model is loaded at a healthy
    replica but not intended by the present plan.
    """

    own_node_id: str
    own_zone: str
    own_region: str
    sources: ViewSources
    _fronts: tuple[FrontNode, ...]
    _serving: Mapping[str, tuple[ServingReplica, ...]]
    _matrix: Mapping[MatrixKey, DestinationLevels]
    _once: Mapping[str, tuple[ListedReplica, ...]]
    loaded_unplanned: frozenset[tuple[str, str]] = frozenset()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, None before the first one has arrived."""
        return self.sources.configuration

    @property
    def limits(self) -> Limits:
        """The limits of the configuration, the defaults while there is none."""
        return self.configuration.limits if self.configuration else Limits()

    @property
    def has_plan(self) -> bool:
        """Whether a plan has arrived; without a plan no model counts as loaded."""
        return self.sources.plan is not None

    @property
    def own_zone_drained(self) -> bool:
        """Whether the operators have drained this front's zone."""
        return self.own_zone in self.sources.drained_zones

    def route(self, name: str) -> Route | None:
        """Return the route of that name, None if the configuration has none."""
        return self.configuration.routes.get(name) if self.configuration else None

    def region_of_caller(self, headers: Mapping[str, str]) -> str:
        """Return the region named in the headers if it is configured, else this front's own."""
        named = headers.get(REGION_HEADER, "")
        known = self.configuration is not None and named in self.configuration.regions
        return named if known else self.own_region

    def serves_home(self, route: Route) -> bool:
        """Return whether this front is in the route's home regions; True for unbound routes."""
        return not route.home_regions or self.own_region in route.home_regions

    def fronts_in(self, regions: Iterable[str] = ()) -> tuple[FrontNode, ...]:
        """Return ready fronts in ``regions`` (() for any) outside drained zones, by node id."""
        wanted = tuple(regions)
        return tuple(front for front in self._fronts if not wanted or front.region in wanted)

    def once_replicas(self, backend: str) -> tuple[ListedReplica, ...]:
        """Return a back end's once-only replicas, without leaving ones and drained zones."""
        return self._once.get(backend, ())

    def serving(self, model: str) -> tuple[ServingReplica, ...]:
        """Return the replicas that report the model as loaded and whose plan intends it."""
        return self._serving.get(model, ())

    def models(self) -> tuple[str, ...]:
        """Return the sorted names of the models that at least one replica serves."""
        return tuple(sorted(self._serving))

    def destinations(self, route: Route, source_region: str) -> DestinationLevels:
        """Return the regions for a route's traffic as preference levels, the preferred one first.

        Regions outside the route's home never appear, whatever the matrix says. Traffic without
        a cell in the matrix (not seen by the planner yet) goes to its own region, then by round
        trip to the other regions that accept spilled traffic.
        """
        homes = tuple(sorted(route.home_regions))
        key = MatrixKey(route.model, route.latency_class, source_region, homes)
        levels = self._matrix.get(key) or self._unplanned(source_region, homes)
        if not homes:
            return levels
        allowed = (tuple(cell for cell in level if cell.region in homes) for level in levels)
        return tuple(level for level in allowed if level)

    def spill_share(self, region: str) -> float:
        """Return the share of a region's capacity that other regions' traffic may use."""
        known = self.configuration.regions.get(region) if self.configuration else None
        return known.weights.spill if known else 0.0

    def _unplanned(self, source: str, homes: tuple[str, ...]) -> DestinationLevels:
        if self.configuration is None:
            return ()
        here = self.configuration.regions.get(source)
        round_trips = here.round_trip_ms if here else {}
        allowed = homes or tuple(sorted(self.configuration.regions))
        others = [region for region in allowed if region != source and self.spill_share(region) > 0]
        others.sort(key=lambda region: (round_trips.get(region, float("inf")), region))
        first = [source] if source in allowed else []
        return tuple((Destination(region, 1.0),) for region in first + others)
