"""Synthetic demand: what a front at the peak would have counted since its last report."""

from bisect import bisect
from collections import Counter
from itertools import accumulate
from random import Random

import attrs

from rooklug.front.view_component import RoutingViewComponent
from rooklug.wire.generated.control.ttypes import DemandEntry, ReplicaObservation
from rooklug_lab.hollow.document import HollowRoute
from rooklug_lab.hollow.size import PROMPT_TOKENS

FIRST_TOKEN_S = 0.4


@attrs.frozen
class RouteTable:
    """The routes that are asked for in one region, drawn by their weights."""

    routes: tuple[HollowRoute, ...]
    _ends: tuple[float, ...]

    def draw(self, random: Random) -> HollowRoute:
        """Return one route."""
        return self.routes[bisect(self._ends, random.random() * self._ends[-1])]


def route_table(routes: tuple[HollowRoute, ...], region: str) -> RouteTable:
    """Return the table of a region: bound routes are asked for only in their homes."""
    chosen = tuple(r for r in routes if not r.home_regions or region in r.home_regions)
    return RouteTable(chosen, tuple(accumulate(route.weight for route in chosen)))


@attrs.define
class SyntheticDemand:
    """Stands in for ``DemandCounts``: ``rate_per_s`` requests, all of them answered."""

    keeper: RoutingViewComponent
    table: RouteTable
    region: str
    rate_per_s: float
    answer_tokens: float
    random: Random
    _models: Counter = attrs.field(factory=Counter)

    def take_entries(self, elapsed_s: float) -> list[DemandEntry]:
        """Draw the requests of ``elapsed_s`` and return their rates by route."""
        number = int(self.rate_per_s * elapsed_s + self.random.random())
        drawn = Counter(self.table.draw(self.random) for _ in range(number))
        for route, requests in drawn.items():
            self._models[route.model] += requests
        return [
            self._entry(route, drawn[route] / elapsed_s)
            for route in sorted(drawn, key=lambda entry: entry.name)
        ]

    def _entry(self, route: HollowRoute, rate_per_s: float) -> DemandEntry:
        return DemandEntry(
            route=route.name,
            model=route.model,
            latency_class="interactive",
            source_region=self.region,
            requests_per_s=rate_per_s,
            prompt_tokens_per_s=rate_per_s * PROMPT_TOKENS,
            answer_tokens_per_s=rate_per_s * self.answer_tokens,
            refused_per_s=0.0,
        )

    def take_observations(self) -> list[ReplicaObservation]:
        """Return which replicas answered those requests."""
        taken, self._models = self._models, Counter()
        seen: Counter = Counter()
        for model in sorted(taken):
            replicas = self.keeper.view.serving(model)
            for _ in range(taken[model] if replicas else 0):
                replica = replicas[int(self.random.random() * len(replicas))]
                seen[(replica.replica_id, replica.incarnation)] += 1
        return [
            ReplicaObservation(
                replica_id, incarnation, seen[(replica_id, incarnation)], 0, 0, FIRST_TOKEN_S
            )
            for replica_id, incarnation in sorted(seen)
        ]
