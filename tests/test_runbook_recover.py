"""The runbook ``recover-cores`` with real cores on a simulated network."""

import asyncio
import json
import unittest

from expression import Error, Ok

from rooklug.api.answers import VERSION_HEADER
from rooklug.cli.operator_client import NoAnswer, OperatorAnswer, OperatorRequest
from rooklug.model.internal_events import EarlierPrimaryReported
from rooklug.runbooks.catalogue import RUNBOOKS
from rooklug.runbooks.runner import Operator, RunbookRunner
from rooklug.runbooks.site import Site
from rooklug.wire.generated.control import ttypes as control
from tests.core_cluster_waits import http, wait_in_sync
from tests.core_machine import CORE_IDS
from tests.test_core_replication import call_core, change_request, started_cluster

RUNBOOK = "recover-cores"
FRONT = "front-a"
SEEN_EPOCH = 700


class RecoverCoresTest(unittest.TestCase):
    nodes = (FRONT,)

    def setUp(self) -> None:
        self.cluster = started_cluster()
        call_core(self.cluster, "core-a", change_request(1, b"{}"))
        self.running = set(CORE_IDS)
        self.sent: list[dict] = []
        self.printed_lines: list[str] = []
        self.confirms = True
        self.at_sleep = lambda: None
        self.before_confirmation = lambda: None
        self.kept = (0, b"")
        """The version and the bytes of the configuration that the front serves under."""

    async def send(self, request: OperatorRequest) -> object:
        """Answer as a front that forwards orders to the primary."""
        primary = self.cluster.primary()
        if primary is None:
            return Error(NoAnswer(maybe_taken=False, reasons=("no primary",)))
        if request.method == "PUT":
            version = int(request.path.rpartition("/")[2])
            answer = call_core(self.cluster, primary.core_id, change_request(version, request.body))
            return Ok(OperatorAnswer("", 200 if answer.outcome == "accepted" else 409, {}, b""))
        read = control.ReadConfigurationRequest(linearizable=True)
        answer = call_core(self.cluster, primary.core_id, read)
        return Ok(self.configuration(answer.configuration.version, answer.configuration.document))

    def configuration(self, version: int, document: bytes) -> OperatorAnswer:
        status = 200 if version else 404
        return OperatorAnswer(FRONT, status, {VERSION_HEADER: str(version)}, document)

    async def sleep(self, seconds: float) -> None:
        self.at_sleep()
        self.cluster.run(self.cluster.now + seconds)

    async def send_once(self, core_id: str, request: OperatorRequest) -> object:
        if core_id == FRONT:
            return Ok(self.configuration(*self.kept))
        if core_id not in self.running:
            return Error("refused")
        if request.method == "POST":
            self.sent.append(json.loads(request.body))
        status, document = http(
            self.cluster, core_id, request.method, request.path, request.body or b""
        )
        return Ok(OperatorAnswer(core_id, status, {}, json.dumps(document).encode()))

    def confirm(self, _question: str) -> bool:
        self.before_confirmation()
        return self.confirms

    def run_runbook(self, cores: str = ",".join(CORE_IDS)) -> bool:
        site = Site(self, lambda: self.cluster.now, self.sleep)
        runner = RunbookRunner(site, Operator(self.printed_lines.append, self.confirm))
        return asyncio.run(runner.run(RUNBOOKS[RUNBOOK], {"cores": cores}))

    def lose_disks(self, *core_ids: str) -> None:
        for core_id in CORE_IDS:
            self.cluster.crash(core_id)
        for core_id in core_ids:
            self.cluster.lose_disk(core_id)

    def start(self, *core_ids: str) -> None:
        self.running = set(core_ids)
        for core_id in core_ids:
            self.cluster.start(core_id)
        self.cluster.run(self.cluster.now + 5.0)

    def confirmations(self) -> list[dict]:
        return [body for body in self.sent if body["plan"]]

    def text(self) -> str:
        return "\n".join(self.printed_lines)

    def test_two_blank_disks(self) -> None:
        self.lose_disks("core-a", "core-b")
        self.start(*CORE_IDS)
        self.assertIsNone(self.cluster.primary())
        self.assertTrue(self.run_runbook(), self.text())
        self.assertTrue(wait_in_sync(self.cluster, list(CORE_IDS)))
        self.assertIn("MAY BE LOST: changes acknowledged in a view newer", self.text())
        again = call_core(self.cluster, self.cluster.primary().core_id, change_request(1, b"{}"))
        self.assertEqual((again.outcome, again.repeated), ("accepted", True))

    def test_absent_core_is_named_and_rejoins_with_an_empty_disk(self) -> None:
        self.lose_disks("core-a", "core-b")
        self.start("core-b", "core-c")

        def start_last() -> None:
            if self.cluster.primary() is not None and "core-a" not in self.running:
                self.running.add("core-a")
                self.cluster.start("core-a")

        self.at_sleep = start_last
        self.assertTrue(self.run_runbook(), self.text())
        self.assertIn("whatever only core-a holds", self.text())

    def test_without_consent_nothing_changes(self) -> None:
        self.lose_disks("core-a", "core-b")
        self.start(*CORE_IDS)
        self.confirms = False
        self.assertFalse(self.run_runbook())
        self.assertIn("MAY BE LOST", self.text())
        self.assertEqual(self.confirmations(), [])
        self.assertIsNone(self.cluster.primary())

    def test_outdated_plan_is_not_executed(self) -> None:
        self.lose_disks("core-a", "core-b")
        self.start(*CORE_IDS)

        def lose_one_more() -> None:
            self.cluster.crash("core-a")
            self.running.discard("core-a")

        self.before_confirmation = lose_one_more
        self.assertFalse(self.run_runbook())
        self.assertEqual(len(self.confirmations()), 1)
        self.assertIn("nothing is done: run it again", self.text())
        self.assertIsNone(self.cluster.primary())

    def test_with_a_primary_there_is_nothing_to_do(self) -> None:
        wait_in_sync(self.cluster, list(CORE_IDS))
        self.assertTrue(self.run_runbook(), self.text())
        self.assertEqual(self.sent, [])

    def test_single_core_is_not_asked_to_recover(self) -> None:
        self.lose_disks("core-a", "core-b")
        self.start("core-c")
        self.assertFalse(self.run_runbook())
        self.assertEqual(self.sent, [])
        self.assertIn("silent: core-a, core-b", self.text())

    def lose_everything(self) -> None:
        """Start all cores on blank disks, while a node has heard of a primary."""
        self.lose_disks(*CORE_IDS)
        self.cluster.start_all()
        self.cluster.run(self.cluster.now + 0.4)
        reported = EarlierPrimaryReported("front-a", SEEN_EPOCH)
        self.cluster.cores["core-b"].component.handle(reported, self.cluster.now)
        self.cluster.run(self.cluster.now + 5.0)
        self.assertIsNone(self.cluster.primary())

    def test_all_disks_lost_and_the_configuration_of_a_front_put_again(self) -> None:
        # The runbook had no way out of a total loss: each blank core sent the operator to another.
        self.lose_everything()
        self.kept = (7, b"{7}")
        self.assertTrue(self.run_runbook(), self.text())
        self.assertTrue(wait_in_sync(self.cluster, list(CORE_IDS)))
        self.assertIn("MAY BE LOST: everything that was ever acknowledged", self.text())
        self.assertIn("version 7 is acknowledged", self.text())
        primary = self.cluster.primary()
        self.assertEqual(primary.component.store.state.version, 7)
        # Nodes ignore a primary of a lower epoch than one that they have heard of.
        self.assertGreater(primary.component.primary.epoch, SEEN_EPOCH)

    def test_all_disks_lost_and_no_front_holds_a_configuration(self) -> None:
        self.lose_everything()
        self.assertTrue(self.run_runbook(), self.text())
        self.assertEqual(self.cluster.primary().component.store.state.version, 0)

    def test_without_consent_blank_disks_stay_as_they_are(self) -> None:
        self.lose_everything()
        self.confirms = False
        self.assertFalse(self.run_runbook())
        self.assertFalse(self.cluster.run(self.cluster.now + 10.0, self.cluster.primary))

    def test_blank_disks_start_nothing_anew_while_a_core_is_silent(self) -> None:
        self.lose_disks("core-a", "core-b")
        self.start("core-a", "core-b")
        self.assertFalse(self.run_runbook())
        self.assertIn("this core has no data", self.text())
        self.assertEqual(self.confirmations(), [])
