"""A front's routing view: one immutable snapshot of who serves what, rebuilt at topic changes.

The components of a front hold the ``RoutingViewComponent`` (``rooklug.front.view_component``)
and read its ``view`` for each request; a snapshot must not be kept between requests.

Methods that other packages use:

- ``once_replicas(backend)``: the once-only replicas of a back end that may get requests;
- ``route(name)``: the route, or None;
- ``region_of_caller(headers)``: where the caller is;
- ``fronts_in(regions)``: fronts that take requests, () means in any region;
- ``serves_home(route)``: whether this front may carry the route at all.
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
    """A model replica that may get requests. ``concurrency`` is what it reports to run at once."""

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
    """A front that takes requests. ``address`` is its HTTP interface."""

    node_id: str
    address: str
    zone: str
    region: str


@attrs.frozen
class Destination:
    """One region that traffic may go to; ``weight`` is its share within its preference."""

    region: str
    weight: float


@attrs.frozen
class MatrixKey:
    """What a cell of the routing matrix is looked up by; ``home_regions`` are sorted."""

    model: str
    latency_class: str
    source_region: str
    home_regions: tuple[str, ...]


DestinationLevels = tuple[tuple[Destination, ...], ...]


@attrs.frozen
class ViewSources:
    """The bodies a view is built from; None while a topic has not come yet."""

    configuration: Configuration | None = None
    configuration_version: int = 0
    drained_zones: frozenset[str] = frozenset()
    nodes: tuple[NodeRecord, ...] = ()
    replicas: tuple[ListedReplica, ...] | None = None
    plan: PlanBody | None = None


@attrs.frozen
class RoutingView:
    """A snapshot for one front. Build it with ``build_routing_view``.

    ``loaded_unplanned`` are (replica id, model) that are loaded and healthy, but not intended now.
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
        """The configuration served under, or None."""
        return self.sources.configuration

    @property
    def limits(self) -> Limits:
        """The limits of the configuration, the defaults before there is one."""
        return self.configuration.limits if self.configuration else Limits()

    @property
    def has_plan(self) -> bool:
        """Whether a plan has come; without one no model counts as loaded."""
        return self.sources.plan is not None

    @property
    def own_zone_drained(self) -> bool:
        """Whether the operators have drained this front's zone."""
        return self.own_zone in self.sources.drained_zones

    def route(self, name: str) -> Route | None:
        """Return the route of that name."""
        return self.configuration.routes.get(name) if self.configuration else None

    def region_of_caller(self, headers: Mapping[str, str]) -> str:
        """Return the caller's region: the header's if it is a known one, else this front's."""
        named = headers.get(REGION_HEADER, "")
        known = self.configuration is not None and named in self.configuration.regions
        return named if known else self.own_region

    def serves_home(self, route: Route) -> bool:
        """Return whether this front is inside the route's home (an unbound route: always)."""
        return not route.home_regions or self.own_region in route.home_regions

    def fronts_in(self, regions: Iterable[str] = ()) -> tuple[FrontNode, ...]:
        """Return ready fronts outside drained zones, by node id; no regions: in any region."""
        wanted = tuple(regions)
        return tuple(front for front in self._fronts if not wanted or front.region in wanted)

    def once_replicas(self, backend: str) -> tuple[ListedReplica, ...]:
        """Return a back end's replicas, without draining ones and those in drained zones."""
        return self._once.get(backend, ())

    def serving(self, model: str) -> tuple[ServingReplica, ...]:
        """Return the replicas on which the model is loaded as reported and intended by the plan."""
        return self._serving.get(model, ())

    def models(self) -> tuple[str, ...]:
        """Return the models that are served anywhere, sorted."""
        return tuple(sorted(self._serving))

    def destinations(self, route: Route, source_region: str) -> DestinationLevels:
        """Return the regions for a route's traffic: levels of preference, the first one first.

        Regions outside the route's home never appear, whatever the matrix says. Traffic that
        the matrix has no cell for (not seen by the planner yet) goes to its own region, then
        to the others by round trip, as far as their weights take spilled traffic at all.
        """
        homes = tuple(sorted(route.home_regions))
        key = MatrixKey(route.model, route.latency_class, source_region, homes)
        levels = self._matrix.get(key) or self._unplanned(source_region, homes)
        if not homes:
            return levels
        allowed = (tuple(cell for cell in level if cell.region in homes) for level in levels)
        return tuple(level for level in allowed if level)

    def spill_share(self, region: str) -> float:
        """Return the share of a region's capacity that traffic from elsewhere may use."""
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
