"""Seeded random placement problems for tests and measurements."""

from random import Random

import attrs

from rooklug.config.document import Model, Readiness, RegionWeights, ResourceNeed, RoundTrip
from rooklug.placement.problem import DemandKey, PlacementProblem, RegionFacts, ReplicaSlot

SLOT_UNITS = 8.0
TINY_GRAIN = 25.0
"""Loads and throughputs of tiny problems are multiples of this (tokens/s)."""

LARGE_REGIONS = 7
LARGE_MODELS = 22
LARGE_SLOTS = 830
LARGE_RESOURCES = ("gpu-small", "gpu-medium", "gpu-large")

FOUR_THRESHOLDS = tuple(RoundTrip)


def tiny_case(seed: int) -> PlacementProblem:
    """Return a problem small enough to try every placement: 2 regions, 2 to 5 slots, 2 models."""
    random = Random(seed)
    regions = {
        name: RegionFacts(
            RegionWeights(serve=1.0, spill=random.choice((0.0, 1.0)), reserve=0.0), {other: 40.0}
        )
        for name, other in (("east", "west"), ("west", "east"))
    }
    models = {
        f"model-{index}": Model(
            {"only": random.choice((RoundTrip.ZONAL, RoundTrip.CONTINENTAL))},
            {
                "gpu": ResourceNeed(
                    random.choice((2.0, 4.0, 8.0)), random.randint(2, 6) * TINY_GRAIN
                )
            },
            random.randint(0, 2),
        )
        for index in range(2)
    }
    slots = []
    for index in range(random.randint(2, 5)):
        region = random.choice(("east", "west"))
        loaded = tuple(name for name in models if random.random() < 0.3)
        if sum(models[name].resources["gpu"].units for name in loaded) > SLOT_UNITS:
            loaded = loaded[:1]
        slots.append(ReplicaSlot(f"slot-{index}", region, f"{region}-a", "gpu", SLOT_UNITS, loaded))
    demand = {
        DemandKey(name, "only", region): random.randint(0, 8) * TINY_GRAIN
        for name in models
        for region in regions
    }
    return PlacementProblem(models, regions, tuple(slots), demand, 100, 5.0)


def random_case(
    seed: int,
    region_count: int = 3,
    model_count: int = 5,
    slot_count: int = 24,
    resources: tuple[str, ...] = ("gpu-small", "gpu-large"),
    load_share: float = 0.6,
    limit_s: float = 1.5,
) -> PlacementProblem:
    """Return a random problem whose demand is about ``load_share`` of the slots' throughput."""
    random = Random(seed)
    names = [f"region-{index}" for index in range(region_count)]
    regions = _regions(random, names)
    models = {f"model-{index:02}": _model(random, resources) for index in range(model_count)}
    slots = _slots(random, names, models, slot_count, resources)
    problem = PlacementProblem(models, regions, slots, {}, max(8, slot_count // 10), limit_s)
    return attrs.evolve(problem, demand=_demand(random, problem, load_share))


def large_case(seed: int, load_share: float = 0.6) -> PlacementProblem:
    """Return a problem of the planned size: 7 regions, 22 models, 830 replicas, 3 resources."""
    problem = random_case(
        seed, LARGE_REGIONS, LARGE_MODELS, LARGE_SLOTS, LARGE_RESOURCES, load_share
    )
    return attrs.evolve(problem, readiness=Readiness.ZONE)


def with_nothing_loaded(problem: PlacementProblem) -> PlacementProblem:
    """Return the problem with no model loaded on any slot."""
    slots = tuple(attrs.evolve(slot, loaded_models=()) for slot in problem.slots)
    return attrs.evolve(problem, slots=slots)


def drifted(
    problem: PlacementProblem, loaded: dict[str, tuple[str, ...]], seed: int, *, zone_lost: bool
) -> PlacementProblem:
    """Return the problem as it might be a while later.

    The plan ``loaded`` is in place, each demand has changed by up to 20 %, and with ``zone_lost``
    the slots of one zone are gone.
    """
    random = Random(seed)
    gone = random.choice(sorted({slot.zone for slot in problem.slots})) if zone_lost else ""
    slots = tuple(
        attrs.evolve(slot, loaded_models=loaded[slot.replica_id])
        for slot in problem.slots
        if slot.zone != gone
    )
    demand = {
        key: round(load * random.uniform(0.8, 1.2), 2) for key, load in problem.demand.items()
    }
    return attrs.evolve(problem, slots=slots, demand=demand)


def _regions(random: Random, names: list[str]) -> dict[str, RegionFacts]:
    at = {name: (random.uniform(0, 120), random.uniform(0, 60)) for name in names}
    regions = {}
    for name in names:
        trips = {
            other: round(abs(at[name][0] - at[other][0]) + abs(at[name][1] - at[other][1]) + 5, 1)
            for other in names
            if other != name
        }
        weights = RegionWeights(1.0, random.choice((0.2, 0.5, 0.8)), random.choice((0.0, 0.1, 0.2)))
        regions[name] = RegionFacts(weights, trips)
    return regions


def _model(random: Random, resources: tuple[str, ...]) -> Model:
    size = random.choice((2.0, 4.0, 8.0))
    speed = random.uniform(60.0, 240.0)
    needs = {
        resource: ResourceNeed(size, round(speed * (index + 1) * random.uniform(0.8, 1.2)))
        for index, resource in enumerate(resources)
        if index == len(resources) - 1 or random.random() < 0.8
    }
    classes = {
        "interactive": random.choice((RoundTrip.ZONAL, RoundTrip.CONTINENTAL)),
        "batch": RoundTrip.GLOBAL,
    }
    return Model(classes, needs, random.randint(0, 3))


def _slots(
    random: Random,
    names: list[str],
    models: dict[str, Model],
    count: int,
    resources: tuple[str, ...],
) -> tuple[ReplicaSlot, ...]:
    slots = []
    for index in range(count):
        region = names[index % len(names)] if index < 2 * len(names) else random.choice(names)
        resource = random.choice(resources)
        free_units = SLOT_UNITS
        loaded = []
        for name in random.sample(sorted(models), min(3, len(models))):
            need = models[name].resources.get(resource)
            if need is not None and need.units <= free_units and random.random() < 0.5:
                loaded.append(name)
                free_units -= need.units
        zone = f"{region}-{'abc'[random.randrange(3)]}"
        slots.append(
            ReplicaSlot(f"slot-{index:03}", region, zone, resource, SLOT_UNITS, tuple(loaded))
        )
    return tuple(slots)


def _demand(random: Random, problem: PlacementProblem, load_share: float) -> dict[DemandKey, float]:
    total_units = sum(slot.resource_units for slot in problem.slots) * load_share
    shares = {name: random.uniform(0.2, 1.0) for name in problem.models}
    total_share = sum(shares.values())
    demand = {}
    for name, model in problem.models.items():
        rates = [need.tokens_per_s / need.units for need in model.resources.values()]
        load = total_units * shares[name] / total_share * sum(rates) / len(rates)
        key_shares = {
            (latency_class, region): random.uniform(0.1, 1.0)
            for latency_class in model.latency_classes
            for region in problem.regions
        }
        for (latency_class, region), share in key_shares.items():
            homes = (region,) if random.random() < 0.1 else ()
            key = DemandKey(name, latency_class, region, homes)
            demand[key] = round(load * share / sum(key_shares.values()), 2)
    return demand
