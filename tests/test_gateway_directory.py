"""Address lookups by clients, readiness checks by the platform, and draining."""

import json
import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.gateway.directory import DIRECTORY_LISTENER, READINESS_LISTENER, Directory
from rooklug.gateway.gateway_events import ViewChanged
from rooklug.gateway.lifecycle import Lifecycle
from rooklug.gateway.protocols import (
    ClientProtocol,
    HeaderNames,
    ResolveRequest,
)
from rooklug.gateway.view import GatewayView
from rooklug.gateway.view_builder import GatewayViewBuilder
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    VersionMark,
)
from tests.gateway_support import document, front, route_item

VERSION = VersionMark(3, 1)


class _FakeCoreLink:
    """Replaces the core link; ignores readiness reports."""

    def set_ready(self, ready):
        return []

    def set_draining(self, draining):
        return []


class DirectoryCase(unittest.TestCase):
    def setUp(self):
        self.view_builder = GatewayViewBuilder()
        self.active = 0
        self.lifecycle = Lifecycle(_FakeCoreLink(), lambda: self.active, grace_s=8.0)
        self.protocol = ClientProtocol(
            HeaderNames(),
            "/ready",
            lambda event: ResolveRequest(**event.query) if event.path == "/where" else None,
            lambda addresses, ttl_s: json.dumps([addresses, ttl_s]).encode(),
        )
        self.component = Directory(
            self.protocol, self.view_builder, self.lifecycle, "10.1.0.9:8000", 2.0
        )
        self.be_ready()

    def be_ready(self, routes=None, **view):
        routes = routes or [route_item("a", "/a/", home_regions=["south"])]
        read = json.dumps(document(routes)).encode()
        self.view_builder._apply_configuration(ConfigurationBody(1, "", read), VERSION, 0.0)
        known = GatewayView(
            configuration=self.view_builder.view.configuration, has_replica_list=True, **view
        )
        self.view_builder.view = known
        self.lifecycle.handle(ViewChanged(known), 0.0)

    def where(self, host="other.example", region="north", zone="north-a") -> list[str]:
        query = {"host": host, "region": region, "zone": zone}
        event = ev.HttpRequestArrived(
            1, "GET", "/where", query, {}, b"", listener=DIRECTORY_LISTENER
        )
        (respond,) = self.component.handle(event, 0.0)
        return json.loads(respond.body)[0] if respond.status == 200 else []

    def ready(self) -> int:
        event = ev.HttpRequestArrived(1, "GET", "/ready", {}, {}, b"", listener=READINESS_LISTENER)
        (respond,) = self.component.handle(event, 0.0)
        return respond.status

    def test_ready_fronts_of_the_region_come_first(self):
        far = {"region": "south", "zone": "south-a"}
        self.be_ready(
            fronts=(
                front(1),
                front(2),
                front(3, ready=False),
                front(4, draining=True),
                front(5, zone="north-b"),
                front(6, **far),
            )
        )
        *near, far_one = self.where()
        self.assertEqual(set(near), {"10.1.0.1:8000", "10.1.0.5:8000"})
        self.assertEqual(far_one, "10.1.0.6:8000")
        *near, far_one = self.where(region="south", zone="south-a")
        self.assertEqual(set(near), {"10.1.0.6:8000"})
        self.assertIn(far_one, {"10.1.0.1:8000", "10.1.0.5:8000"})
        self.assertEqual(len(self.where(region="west", zone="west-a")), 2)

    def test_few_clients_get_the_backup_and_answers_are_bounded(self):
        fronts = [front(n) for n in range(1, 200)]
        fronts += [front(n, region="south", zone="south-a") for n in range(200, 250)]
        for near_count in (1, 2, 60, 199):
            self.be_ready(fronts=tuple(fronts[199 - near_count :]))
            answer = self.where()
            self.assertLessEqual(len(answer), 64)
            self.assertEqual(len(set(answer)) - len(set(answer[:-1])), 1)
            self.assertGreaterEqual(answer.count(answer[0]) * len(set(answer[:-1])), 8)

    def test_a_host_bound_to_one_region_gets_no_backup(self):
        self.be_ready(fronts=(front(1), front(6, region="south", zone="south-a")))
        answer = self.where(host="desk.example", region="south", zone="south-a")
        self.assertEqual(answer, ["10.1.0.6:8000"])

    def test_the_backup_of_a_host_with_a_bound_route_is_in_its_home_region(self):
        """Such a backup sent one in seventeen connections with bound requests to another region."""
        routes = [route_item("a", "/a/", home_regions=["south"]), route_item("b", "/b/")]
        fronts = (front(1), front(2), front(6, region="south", zone="south-a"))
        self.be_ready(routes, fronts=fronts)
        answer = self.where(host="desk.example", region="south", zone="south-a")
        self.assertEqual(answer, ["10.1.0.6:8000"])
        answer = self.where(host="desk.example")
        self.assertEqual(set(answer), {"10.1.0.1:8000", "10.1.0.2:8000", "10.1.0.6:8000"})

    def test_the_backup_is_in_a_home_region_common_to_all_bound_routes(self):
        routes = [
            route_item("a", "/a/", home_regions=["south", "east"]),
            route_item("b", "/b/", home_regions=["south", "west"]),
            route_item("c", "/c/"),
        ]
        east, west = ({"region": name, "zone": f"{name}-a"} for name in ("east", "west"))
        south = {"region": "south", "zone": "south-a"}
        self.be_ready(routes, fronts=(front(1), front(2, **east), front(3, **west)))
        self.assertEqual(set(self.where(host="desk.example")), {"10.1.0.1:8000"})
        known = (front(1), front(2, **east), front(3, **west), front(4, **south))
        self.be_ready(routes, fronts=known)
        answer = self.where(host="desk.example")
        self.assertEqual(set(answer), {"10.1.0.1:8000", "10.1.0.4:8000"})

    def test_machines_that_run_a_core_come_last(self):
        fronts = tuple(front(number) for number in range(1, 5))
        self.be_ready(fronts=fronts, core_machines=frozenset({"10.1.0.1"}))
        self.assertEqual(self.where(), ["10.1.0.2:8000", "10.1.0.3:8000"])
        self.be_ready(fronts=fronts[:2], core_machines=frozenset({"10.1.0.1"}))
        self.assertEqual(self.where(), ["10.1.0.1:8000", "10.1.0.2:8000"])

    def test_a_bound_host_gets_fronts_of_its_home_region(self):
        self.be_ready(fronts=(front(1), front(2), front(6, region="south", zone="south-a")))
        self.assertEqual(self.where(host="desk.example"), ["10.1.0.6:8000"])

    def test_a_front_without_a_list_of_members_returns_its_own_address(self):
        self.assertEqual(self.where(), ["10.1.0.9:8000"])

    def test_a_draining_front_is_unready_immediately_and_exits_when_idle(self):
        self.assertEqual(self.ready(), 200)
        self.active = 1
        self.lifecycle.handle(ev.StopRequested(), 100.0)
        self.assertEqual(self.ready(), 503)
        self.assertIsInstance(
            self.lifecycle.handle(ev.TimerFired("drain"), 105.0)[0], fx.StartTimer
        )
        self.active = 0
        self.assertIsInstance(
            self.lifecycle.handle(ev.TimerFired("drain"), 105.1)[0], fx.StopProcess
        )

    def test_the_process_exits_at_the_end_of_the_grace_period_with_requests_in_flight(self):
        self.active = 1
        self.lifecycle.handle(ev.StopRequested(), 100.0)
        self.assertIsInstance(
            self.lifecycle.handle(ev.TimerFired("drain"), 107.6)[0], fx.StopProcess
        )
