"""The primary solves the region plan and publishes its matrix."""

import json
import unittest

from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.engine.reducer import Identifiers
from rooklug.gateway.gateway_events import ReplicasListed
from rooklug.gateway.region_planner import RegionPlanner, solve_lazily
from rooklug.model.internal_events import (
    ConfigurationCommitted,
    PrimaryStarted,
    PrimaryStopped,
)
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    DemandEntry,
    DemandReport,
    ReplicasBody,
    VersionMark,
)
from tests.gateway_control_support import listed
from tests.gateway_support import document, route_item


class Planner(unittest.TestCase):
    def setUp(self):
        self.component = RegionPlanner(Identifiers())
        self.component.handle(PrimaryStarted(3), 0.0)
        routes = [
            route_item("a", "/a/", service="model"),
            route_item("b", "/b/", service="model", home_regions=["south"]),
        ]
        body = ConfigurationBody(1, "", json.dumps(document(routes)).encode())
        self.component.handle(ConfigurationCommitted(VersionMark(3, 1), body), 0.0)
        replicas = [listed(1), listed(2), listed(3, region="south", zone="south-a")]
        self.component.handle(ReplicasListed(ReplicasBody(replicas)), 0.0)

    def demand(self, node: str, region: str, tokens: float, route: str = "a") -> None:
        entry = DemandEntry(route, "model", "", region, 1.0, 0.0, tokens, 0.0)
        report = DemandReport(node, "1", 1, [entry], [])
        self.component.handle(ev.CallArrived(7, node, report), 1.0)

    def plan(self) -> list:
        effects = self.component.handle(ev.TimerFired("solve"), 2.0)
        compute = effects[-1]
        result = solve_lazily(compute.argument)
        effects = self.component.handle(ev.Computed(compute.ticket, result), 2.1)
        offers = [e.event for e in effects if isinstance(e, EmitEvent)]
        return offers[0].body.matrix if offers else []

    def weights(self, cells, source, homes=()) -> dict[str, float]:
        return {
            c.destination_region: c.weight
            for c in cells
            if c.source_region == source and c.preference == 0 and tuple(c.home_regions) == homes
        }

    def test_a_region_serves_itself_while_it_can(self):
        self.demand("f1", "north", 1000.0)
        self.demand("f2", "south", 1000.0)
        cells = self.plan()
        self.assertEqual(list(self.weights(cells, "north")), ["north"])
        self.assertEqual(list(self.weights(cells, "south")), ["south"])

    def test_demand_beyond_a_regions_capacity_goes_to_the_other(self):
        self.demand("f2", "south", 9000.0)
        self.demand("f3", "south", 11500.0, route="b")
        cells = self.plan()
        self.assertGreater(self.weights(cells, "south").get("north", 0.0), 0.9)
        self.assertEqual(self.weights(cells, "south", ("south",)), {"south": 1.0})

    def test_no_cell_of_a_bound_route_leaves_its_home_region(self):
        self.demand("f1", "north", 90000.0)
        bound = [c for c in self.plan() if c.home_regions]
        self.assertTrue(bound)
        self.assertEqual({c.destination_region for c in bound}, {"south"})

    def test_an_unchanged_matrix_is_not_distributed_again(self):
        self.demand("f1", "north", 1000.0)
        self.assertTrue(self.plan())
        self.assertEqual(self.plan(), [])

    def test_only_the_primary_plans(self):
        self.component.handle(PrimaryStopped("lease"), 1.0)
        effects = self.component.handle(ev.TimerFired("solve"), 2.0)
        self.assertFalse(any(isinstance(effect, EmitEvent) for effect in effects))
