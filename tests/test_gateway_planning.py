"""The region plan, from the fronts' demand reports to the traffic that a region can't serve."""

import json
import unittest

from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.engine.reducer import Identifiers
from rooklug.gateway.gateway_events import ReplicasListed
from rooklug.gateway.region_planner import RegionPlanner, solve_lazily
from rooklug.gateway.region_problem import RegionPlanInputs
from rooklug.gateway.view import matrix_of
from rooklug.model.internal_events import ConfigurationCommitted, PrimaryStarted
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    DemandEntry,
    DemandReport,
    ListedReplica,
    ReplicasBody,
    VersionMark,
)
from tests.gateway_support import configuration, document, route_item

UNBOUND = route_item("free", "/free/", service="model", execution="event_stream")
BOUND = route_item(
    "bound", "/bound/", service="model", execution="event_stream", home_regions=["north"]
)


def listed(region: str, number: int) -> ListedReplica:
    return ListedReplica(
        replica_id=f"{region}-{number}",
        address=f"10.0.{number}.1:80",
        kind="gateway",
        backend="model",
        region=region,
        zone=f"{region}-a",
        resource="model",
        resource_units=1.0,
        leaving=False,
        slots=96,
    )


class Planning(unittest.TestCase):
    def setUp(self):
        self.planner = RegionPlanner(Identifiers())
        self.matrix = {}
        body = ConfigurationBody(1, "", json.dumps(document([UNBOUND, BOUND])).encode())
        self.handle(ConfigurationCommitted(VersionMark(1, 1), body))
        self.handle(PrimaryStarted(1))
        replicas = [listed("north", n) for n in range(6)] + [listed("south", 9)]
        self.handle(ReplicasListed(ReplicasBody(replicas)))

    def handle(self, event) -> None:
        for effect in self.planner.handle(event, 1.0):
            if isinstance(effect, EmitEvent):
                self.matrix = matrix_of(effect.event.body.matrix)

    def report(self, route: str, region: str, tokens_per_s: float, prefill_rate: float) -> None:
        entry = DemandEntry(route, "model", "", region, 1.0, tokens_per_s, 0.0, 0.0)
        report = DemandReport(f"front-{region}-{route}", "1", 1, [entry], [], prefill_rate)
        self.handle(ev.CallArrived(1, "front", report))

    def solve(self) -> None:
        effects = self.planner.handle(ev.TimerFired("solve"), 1.0)
        compute = effects[-1]
        self.handle(ev.Computed(compute.ticket, solve_lazily(compute.argument)))

    def share(self, source: str, destination: str, homes: tuple[str, ...] = ()) -> float:
        cells = self.matrix[("model", source, homes)]
        first = [cell for cell in cells if cell.preference == 0]
        return sum(cell.weight for cell in first if cell.region == destination)

    def test_demand_beyond_a_regions_prefill_capacity_goes_to_others(self):
        self.report("free", "south", 40_000.0, 40_000.0)
        self.solve()
        self.assertGreater(self.share("south", "north"), 0.5)
        self.assertGreater(self.share("south", "south"), 0.2)

    def test_demand_within_a_regions_capacity_stays(self):
        self.report("free", "south", 8_000.0, 40_000.0)
        self.solve()
        self.assertEqual(self.share("south", "south"), 1.0)

    def test_capacity_follows_the_observed_prefill_rate(self):
        self.report("free", "south", 8_000.0, 10_000.0)
        self.solve()
        self.assertGreater(self.share("south", "north"), 0.3)

    def test_demand_of_bound_and_unbound_routes_is_kept_apart(self):
        self.report("bound", "south", 40_000.0, 40_000.0)
        self.solve()
        self.assertEqual(self.share("south", "south"), 1.0)
        self.assertEqual(self.share("south", "north", ("north",)), 1.0)

    def test_a_service_without_an_engine_is_planned_by_its_slots(self):
        inputs = RegionPlanInputs(configuration([route_item("once", "/once/")]), (), frozenset())
        ledger = listed("north", 1)
        ledger.backend = "ledger"
        problem = RegionPlanInputs(inputs.configuration, (ledger,), frozenset()).problem({})
        self.assertEqual(problem.models["ledger"].resources["ledger"].concurrency, 96)


if __name__ == "__main__":
    unittest.main()
