"""The two deployments of today: zones, how many machines and replicas, and their traffic."""

import attrs

from rooklug_lab.standins.settings import RouteLoad


@attrs.frozen
class Zone:
    """A zone of a deployment, its region, and how many machines and replicas it has."""

    name: str
    region: str
    machines: int
    model_replicas: int
    once_replicas: int = 1


@attrs.frozen
class Plan:
    """What distinguishes one deployment from another."""

    name: str
    zones: tuple[Zone, ...]
    backend: str
    one_way_delay_s: float
    loads: tuple[RouteLoad, ...]


PAYROLL = Plan(
    name="payroll",
    zones=(
        Zone("cairo-a", "cairo", machines=4, model_replicas=2),
        Zone("cairo-b", "cairo", machines=4, model_replicas=1),
        Zone("alexandria-a", "alexandria", machines=3, model_replicas=2),
    ),
    backend="ledger",
    one_way_delay_s=0.020,
    loads=(
        RouteLoad("deduction-question", "model", 1.0, 800, 60),
        RouteLoad("payslip-notes", "model", 1.0, 200, 80, stream_share=1.0),
        RouteLoad("contract-review", "model", 0.1, 3000, 160, deadline_s=30.0),
        RouteLoad("payslip-lookup", "once", 2.5, deadline_s=5.0),
    ),
)

QUIZ = Plan(
    name="quiz",
    zones=(
        Zone("vestland-a", "vestland", machines=4, model_replicas=3),
        Zone("vestland-b", "vestland", machines=4, model_replicas=2),
        Zone("austland-a", "austland", machines=3, model_replicas=4),
    ),
    backend="results",
    one_way_delay_s=0.035,
    loads=(
        RouteLoad("banter", "model", 6.0, 200, 40, stream_share=0.8),
        RouteLoad("settle-dispute", "model", 1.0, 600, 60),
        RouteLoad("build-round", "model", 0.2, 2000, 200, deadline_s=30.0),
        RouteLoad("result-post", "once", 4.0, deadline_s=5.0),
    ),
)

PLANS = {plan.name: plan for plan in (PAYROLL, QUIZ)}
