"""The two deployments as placement problems.

Replica counts, regions and distances are the users'; model sizes, throughputs and zones are
stand-ins of ours.
"""

import attrs

from rooklug.config.document import Model, Readiness, RegionWeights, ResourceNeed, RoundTrip
from rooklug.placement.problem import RegionFacts, ReplicaSlot

SLOT_UNITS = 8.0
RESOURCE = "gpu"


@attrs.frozen
class Deployment:
    """Models, regions and replicas of one deployment; ``homes`` binds models' routes."""

    name: str
    models: dict[str, Model]
    regions: dict[str, RegionFacts]
    slots: tuple[ReplicaSlot, ...]
    homes: dict[str, str]
    readiness: Readiness = Readiness.ZONE


def _model(units: float, tokens_per_s: float, limit: RoundTrip, priority: int) -> Model:
    need = ResourceNeed(units, tokens_per_s, concurrency=8, load_s=5.0)
    return Model({"only": limit}, {RESOURCE: need}, priority)


def _regions(first: str, second: str, round_trip_ms: float) -> dict[str, RegionFacts]:
    weights = RegionWeights(serve=1.0, spill=0.5, reserve=0.1)
    return {
        first: RegionFacts(weights, {second: round_trip_ms}),
        second: RegionFacts(weights, {first: round_trip_ms}),
    }


def _slots(zones: dict[str, tuple[str, ...]], counts: dict[str, int]) -> tuple[ReplicaSlot, ...]:
    return tuple(
        ReplicaSlot(
            f"{region}-{index}",
            region,
            zones[region][index % len(zones[region])],
            RESOURCE,
            SLOT_UNITS,
        )
        for region, count in counts.items()
        for index in range(count)
    )


PAYROLL = Deployment(
    "payroll",
    {
        "contracts": _model(4.0, 300.0, RoundTrip.CONTINENTAL, 1),
        "deductions": _model(4.0, 400.0, RoundTrip.CONTINENTAL, 3),
        "payslip-notes": _model(4.0, 400.0, RoundTrip.CONTINENTAL, 2),
    },
    _regions("cairo", "alexandria", 40.0),
    _slots(
        {"cairo": ("zone-a", "zone-b"), "alexandria": ("zone-c",)}, {"cairo": 3, "alexandria": 2}
    ),
    {"payslip-notes": "cairo"},
)

QUIZ = Deployment(
    "quiz",
    {
        "rounds": _model(4.0, 300.0, RoundTrip.CONTINENTAL, 1),
        "disputes": _model(4.0, 400.0, RoundTrip.CONTINENTAL, 3),
        "banter": _model(4.0, 500.0, RoundTrip.CONTINENTAL, 2),
    },
    _regions("vestland", "austland", 70.0),
    _slots(
        {"vestland": ("zone-a", "zone-b"), "austland": ("zone-c",)}, {"vestland": 5, "austland": 4}
    ),
    {"disputes": "vestland"},
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (PAYROLL, QUIZ)}
