"""Runbooks against a simulated site in virtual time: steps, checks, rejections and undo."""

import asyncio
import json
import unittest
from collections.abc import Callable

from expression import Error, Ok

from rooklug.cli.operator_client import NoAnswer, OperatorAnswer, OperatorRequest
from rooklug.runbooks.catalogue import RUNBOOKS
from rooklug.runbooks.runner import Operator, RunbookRunner
from rooklug.runbooks.site import Site


class SimulatedSite:
    """Three cores, and fronts in two zones; ``at_sleep`` simulates what operators do meanwhile."""

    def __init__(self) -> None:
        self.now = 0.0
        self.epoch = 3
        self.primary = "core-1"
        self.running = ["core-1", "core-2", "core-3"]
        self.in_sync = ["core-1", "core-2", "core-3"]
        self.emptied: list[str] = []
        self.fronts = {f"front-{n}": ["a" if n < 2 else "b", f"life-{n}", True] for n in range(4)}
        self.orders: list[OperatorRequest] = []
        self.reports = {"m1": "loading"}
        self.decisions: list[dict] = []
        self.at_sleep: Callable[[], None] = lambda: None
        self.printed_lines: list[str] = []
        self.declined_question = "nothing"

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        self.at_sleep()

    async def send(self, request: OperatorRequest) -> object:
        if request.method == "POST":
            return self._zone(request)
        if request.path == "/v1/status":
            return self._answer(self._status())
        if request.path.startswith("/v1/decisions"):
            return self._answer({"decisions": self.decisions, "gap": False})
        return Ok(OperatorAnswer("node", 200, {"x-rooklug-version": "12"}, b"{}"))

    async def send_once(self, node: str, request: OperatorRequest) -> object:
        models = [{"model": name, "state": state} for name, state in self.reports.items()]
        return self._answer({"models": models})

    def run(self, name: str, **values: str) -> bool:
        site = Site(self, lambda: self.now, self.sleep)
        operator = Operator(
            self.printed_lines.append, lambda question: self.declined_question not in question
        )
        return asyncio.run(RunbookRunner(site, operator).run(RUNBOOKS[name], values))

    def text(self) -> str:
        return "\n".join(self.printed_lines)

    def lose_core(self, core_id: str) -> None:
        self.running = [core for core in self.running if core != core_id]
        self.in_sync = [core for core in self.in_sync if core != core_id]
        if self.primary == core_id:
            self.primary, self.epoch = self.in_sync[0], self.epoch + 1

    def return_core(self, core_id: str) -> None:
        self.running.append(core_id)
        self.in_sync.append(core_id)

    def _zone(self, request: OperatorRequest) -> object:
        self.orders.append(request)
        _, _, _, zone, action = request.path.split("/")
        self.emptied = [zone] if action == "empty" else []
        for front in self.fronts.values():
            if front[0] == zone:
                front[2] = action != "empty"
        return self._answer({"zone": zone})

    def _status(self) -> dict:
        cores = [
            {
                "address": core,
                "node_id": core,
                "phase": "primary" if core == self.primary else "backup",
                "epoch": self.epoch,
                "in_sync": self.in_sync,
                "configuration_version": 12,
            }
            for core in self.running
        ]
        nodes = [
            {
                "node_id": name,
                "role": "front",
                "zone": zone,
                "region": "r",
                "http_address": "127.0.0.1:1",
                "incarnation": incarnation,
                "ready": ready,
                "draining": False,
                "configuration_version": 12,
            }
            for name, (zone, incarnation, ready) in self.fronts.items()
        ]
        primary = self.primary if self.primary in self.running else ""
        return {
            "primary": primary,
            "cores": cores,
            "nodes": nodes,
            "emptied_zones": self.emptied if primary else None,
        }

    def _answer(self, document: dict) -> object:
        return Ok(OperatorAnswer("node", 200, {}, json.dumps(document).encode()))


class RunbooksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = SimulatedSite()

    def test_every_step_says_how_to_undo(self) -> None:
        values = {"core": "core-1", "zone": "a", "replica": "r", "address": "x:1", "model": "m1"}
        values["cores"] = "x:1,x:2,x:3"
        for runbook in RUNBOOKS.values():
            steps = asyncio.run(runbook.plan(Site(self.site, lambda: 0.0), values))
            for step in steps:
                self.assertTrue(step.undo and step.title)
                self.assertTrue(step.instruction())

    def test_empty_and_restore_a_zone(self) -> None:
        self.assertTrue(self.site.run("empty-zone", zone="a"))
        self.assertEqual(self.site.emptied, ["a"])
        self.assertTrue(self.site.run("restore-zone", zone="a"))
        self.assertEqual(self.site.emptied, [])
        self.assertEqual(len(self.site.orders), 2)

    def test_step_that_already_holds_is_skipped(self) -> None:
        self.assertTrue(self.site.run("empty-zone", zone="a"))
        self.assertTrue(self.site.run("empty-zone", zone="a"))
        self.assertEqual(len(self.site.orders), 1)

    def test_the_last_ready_zone_is_not_emptied(self) -> None:
        for front in self.site.fronts.values():
            front[2] = front[0] == "a"
        self.assertFalse(self.site.run("empty-zone", zone="a"))
        self.assertEqual(self.site.orders, [])
        self.assertIn("this step did nothing", self.site.text())

    def test_operator_can_decline(self) -> None:
        self.site.declined_question = "an order"
        self.assertFalse(self.site.run("empty-zone", zone="a"))
        self.assertEqual(self.site.orders, [])

    def test_lost_disk_machine(self) -> None:
        deeds = [lambda: self.site.lose_core("core-3"), lambda: self.site.return_core("core-3")]
        self.site.at_sleep = lambda: deeds.pop(0)() if deeds else None
        self.assertTrue(self.site.run("lost-disk-machine", core="core-3"))

    def test_second_core_is_not_stopped(self) -> None:
        self.site.lose_core("core-2")
        self.assertFalse(self.site.run("lost-disk-machine", core="core-3"))
        self.assertIn("check failed", self.site.text())

    def test_unverified_step_prints_its_undo(self) -> None:
        self.assertFalse(self.site.run("lost-disk-machine", core="core-3"))
        self.assertIn("To undo: start core core-3 again", self.site.text())

    def test_failover_check(self) -> None:
        deeds = [lambda: self.site.lose_core("core-1"), lambda: self.site.return_core("core-1")]
        self.site.at_sleep = lambda: deeds.pop(0)() if deeds else None
        self.assertTrue(self.site.run("failover-check"))
        self.assertIn("primary core-2 in epoch 4, before 3", self.site.text())

    def test_failover_is_not_tried_with_a_core_out_of_sync(self) -> None:
        self.site.lose_core("core-3")
        self.assertFalse(self.site.run("failover-check"))
        self.assertIn("check failed", self.site.text())

    def test_roll_fronts(self) -> None:
        waiting = sorted(self.site.fronts)

        def restart_next() -> None:
            self.site.fronts[waiting.pop(0)][1] = "new life"

        self.site.at_sleep = restart_next
        self.assertTrue(self.site.run("roll-fronts"))
        self.assertEqual(waiting, [])

    def test_rolling_stops_while_another_front_is_not_ready(self) -> None:
        self.site.fronts["front-3"][2] = False
        self.assertFalse(self.site.run("roll-fronts"))
        self.assertIn("not ready: front-3", self.site.text())

    def test_stuck_load(self) -> None:
        self.assertFalse(self.site.run("stuck-load", replica="r1", address="x", model="m1"))
        self.assertIn("no kept decision", self.site.text())
        self.site.decisions = [{"kind": "load", "summary": "m1 on r1", "cause": "demand"}]
        self.site.at_sleep = lambda: self.site.reports.update(m1="loaded")
        self.assertTrue(self.site.run("stuck-load", replica="r1", address="x", model="m1"))

    def test_without_a_site_nothing_is_done(self) -> None:
        async def no_answer(_request: OperatorRequest) -> object:
            return Error(NoAnswer(False, ("x: refused",)))

        self.site.send = no_answer
        for name, values in (
            ("empty-zone", {"zone": "a"}),
            ("failover-check", {}),
            ("roll-fronts", {}),
        ):
            self.assertFalse(self.site.run(name, **values))
        self.assertEqual(self.site.orders, [])
