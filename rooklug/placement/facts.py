"""Facts derived from a placement problem alone: destinations, round trips, resource needs."""

from math import inf

import attrs

from rooklug.config.document import Model, ResourceNeed, RoundTrip
from rooklug.placement.problem import DemandKey, PlacementProblem, RegionFacts, ReplicaSlot

LOAD_EPSILON = 1e-6
"""Loads and shares below this (tokens/s) count as zero."""


@attrs.frozen
class Destination:
    """A region that may serve a demand key.

    ``late`` tells that its round trip exceeds the threshold of the key's latency class.
    """

    region: str
    round_trip_ms: float
    late: bool


def round_trip_ms(regions: dict[str, RegionFacts], source: str, destination: str) -> float:
    """Return the round trip in ms between two regions.

    It is 0 inside a region and infinite if none is configured in either direction.
    """
    if source == destination:
        return 0.0
    for start, end in ((source, destination), (destination, source)):
        facts = regions.get(start)
        if facts is not None and end in facts.round_trip_ms:
            return facts.round_trip_ms[end]
    return inf


def threshold_ms(model: Model, latency_class: str) -> float:
    """Return the round-trip threshold in ms of a latency class; an unknown one is global."""
    return model.latency_classes.get(latency_class, RoundTrip.GLOBAL).limit_ms


def destinations(problem: PlacementProblem, key: DemandKey) -> list[Destination]:
    """Return the regions that may serve ``key``: those in time before late ones, nearest first.

    Regions outside the key's homes are never included. The source region is included if its
    weight ``serve`` is above 0, other regions if their weight ``spill`` is.
    """
    model = problem.models.get(key.model)
    if model is None:
        return []
    limit = threshold_ms(model, key.latency_class)
    found = []
    for region in sorted(problem.regions):
        if key.home_regions and region not in key.home_regions:
            continue
        weights = problem.regions[region].weights
        share = weights.serve if region == key.source_region else weights.spill
        if share > 0:
            distance = round_trip_ms(problem.regions, key.source_region, region)
            found.append(Destination(region, distance, distance > limit))
    return sorted(found, key=lambda entry: (entry.late, entry.round_trip_ms, entry.region))


def need_on(problem: PlacementProblem, model: str, slot: ReplicaSlot) -> ResourceNeed | None:
    """Return the resource need of ``model`` on ``slot``, or None if it can't run there at all."""
    spec = problem.models.get(model)
    need = spec.resources.get(slot.resource) if spec is not None else None
    if need is None or slot.region not in problem.regions:
        return None
    if need.units > slot.resource_units or need.tokens_per_s <= 0:
        return None
    return need


def unit_cost(model: Model) -> float:
    """Return the lowest cost of this model in resource units per token/s, over all resources."""
    costs = [
        need.units / need.tokens_per_s for need in model.resources.values() if need.tokens_per_s > 0
    ]
    return min(costs, default=1.0)


def usable_share(facts: RegionFacts) -> float:
    """Return the share of a replica's throughput that plans may use: all but the reserve."""
    return min(1.0, max(0.0, 1.0 - facts.weights.reserve))


def key_order(key: DemandKey) -> tuple[str, str, str, tuple[str, ...]]:
    """Return the sort key for demand keys, which makes all iterations deterministic."""
    return (key.model, key.latency_class, key.source_region, key.home_regions)


def all_keys(problem: PlacementProblem) -> list[DemandKey]:
    """Return the keys to route, sorted.

    These are the keys in the demand, and each model's keys without home regions for every latency
    class and source region.
    """
    keys = {key for key in problem.demand if key.model in problem.models}
    for name, model in problem.models.items():
        for latency_class in model.latency_classes:
            for region in problem.regions:
                keys.add(DemandKey(name, latency_class, region))
    return sorted(keys, key=key_order)
