"""Cores whose disks are lost, slow, damaged or incomplete, and the recovery by an operator."""

import json
import unittest
from typing import Any
from unittest import mock

from rooklug.core.constants import LEASE_GUARD_S, QUORUM_TIMEOUT_S
from rooklug.wire.generated.core import ttypes as wire
from tests.core_cluster_waits import http, in_sync, wait_back, wait_in_sync
from tests.core_machine import CORE_IDS
from tests.test_core_replication import call_core, change_request, started_cluster


class DiskTest(unittest.TestCase):
    def test_slow_backup_leaves_the_in_sync_set_and_the_change_is_accepted(self) -> None:
        cluster = started_cluster()
        cluster.cores["core-c"].disk.stalled_until = cluster.now + 6.0
        self.assertEqual(call_core(cluster, "core-a", change_request(1, b"{}")).outcome, "accepted")
        self.assertEqual(in_sync(cluster), ["core-a", "core-b"])
        self.assertTrue(wait_in_sync(cluster, list(CORE_IDS)))

    def test_primary_with_a_stalled_disk_hands_over_before_its_lease_expires(self) -> None:
        cluster = started_cluster()
        cluster.cores["core-a"].disk.stalled_until = cluster.now + 10.0
        began = cluster.now
        answers: list[Any] = []
        cluster.request("core-a", change_request(1, b"{}"), answers.append)
        self.assertTrue(cluster.run(began + 10.0, lambda: bool(answers)))
        self.assertEqual(answers[0].outcome, "unknown")
        moved = cluster.run(
            began + 10.0, lambda: cluster.primary() not in (None, cluster.cores["core-a"])
        )
        self.assertTrue(moved)
        self.assertLess(cluster.now - began, 1.0 + LEASE_GUARD_S)
        again = call_core(cluster, cluster.primary().core_id, change_request(1, b"{}"))
        self.assertEqual(again.outcome, "accepted")

    def test_permanently_slow_disk_causes_few_view_changes(self) -> None:
        for sync in ((0.15, 0.3), (0.4, 0.9), (1.5, 2.5)):
            with self.subTest(sync=sync):
                cluster = started_cluster()
                cluster.crash("core-c")
                self.assertTrue(wait_in_sync(cluster, ["core-a", "core-b"]))
                cluster.cores["core-c"].disk.sync = sync
                cluster.start("core-c")
                slowest = 0.0
                for version in range(1, 101):
                    began = cluster.now
                    answer = call_core(
                        cluster, "core-a", change_request(version, b"{%d}" % version)
                    )
                    self.assertEqual(answer.outcome, "accepted")
                    slowest = max(slowest, cluster.now - began)
                    cluster.run(cluster.now + 0.5)
                views = cluster.cores["core-a"].component.witness.state.promised_epoch // 3
                self.assertLess(views, 10)
                self.assertLess(slowest, QUORUM_TIMEOUT_S)

    def test_backup_with_a_lost_disk_receives_the_log_again(self) -> None:
        cluster = started_cluster()
        call_core(cluster, "core-a", change_request(1, b"{}"))
        cluster.crash("core-b")
        cluster.lose_disk("core-b")
        cluster.start("core-b")
        self.assertTrue(wait_back(cluster, "core-b"))
        disks = {d.disk_id for d in cluster.primary().component.primary.view.in_sync}
        self.assertNotIn("disk-core-b:core-b-1", disks)
        self.assertTrue(any(b"{}" in r for r in cluster.cores["core-b"].disk.files["control-log"]))

    def test_snapshot_transfer_in_chunks(self) -> None:
        small_file = mock.patch("rooklug.core.store.REWRITE_BYTES", 1500)
        small_chunks = mock.patch("rooklug.core.control_state.CHANGES_PER_CHUNK", 3)
        with small_file, small_chunks:
            cluster = started_cluster()
            for version in range(1, 21):
                call_core(cluster, "core-a", change_request(version, b"{%d}" % version))
            cluster.run(cluster.now + 1.0)
            self.assertGreater(cluster.cores["core-a"].component.store.log.base.sequence, 0)
            cluster.crash("core-b")
            cluster.lose_disk("core-b")
            cluster.start("core-b")
            self.assertTrue(wait_back(cluster, "core-b"))
            copy = cluster.cores["core-b"].component.store
            self.assertGreater(copy.log.base.sequence, 0)
            self.assertEqual(sorted(copy.state.changes), list(range(1, 21)))
            cluster.crash("core-b")
            cluster.start("core-b")
            cluster.run(cluster.now + 1.0)
            self.assertEqual(cluster.cores["core-b"].component.store.state.version, 20)

    def test_no_primary_with_two_blank_disks_and_one_with_data(self) -> None:
        cluster = started_cluster()
        call_core(cluster, "core-a", change_request(1, b"{}"))
        for core_id in CORE_IDS:
            cluster.crash(core_id)
        for core_id in ("core-a", "core-b"):
            cluster.lose_disk(core_id)
        cluster.start_all()
        cluster.run(cluster.now + 30.0)
        self.assertIsNone(cluster.primary())
        for core_id in CORE_IDS:
            self.assertIn("runbook recover", cluster.cores[core_id].recorder.status.note)

    def test_recovery_reports_the_loss_and_executes_only_the_confirmed_plan(self) -> None:
        cluster = started_cluster()
        call_core(cluster, "core-a", change_request(1, b"{}"))
        for core_id in CORE_IDS:
            cluster.crash(core_id)
        for core_id in ("core-a", "core-b"):
            cluster.lose_disk(core_id)
        cluster.start_all()
        cluster.run(cluster.now + 5.0)
        self.assertEqual(call_core(cluster, "core-a", wire.RecoverRequest("")).outcome, "refused")
        planned = call_core(cluster, "core-c", wire.RecoverRequest(""))
        self.assertEqual(planned.outcome, "plan")
        self.assertTrue(planned.may_be_lost)
        wrong = call_core(cluster, "core-c", wire.RecoverRequest(planned.plan + "!"))
        self.assertEqual(wrong.outcome, "plan")
        self.assertIsNone(cluster.primary())
        done = call_core(cluster, "core-c", wire.RecoverRequest(planned.plan))
        self.assertEqual(done.outcome, "recovered")
        self.assertTrue(wait_in_sync(cluster, list(CORE_IDS)))
        again = call_core(cluster, cluster.primary().core_id, change_request(1, b"{}"))
        self.assertEqual((again.outcome, again.repeated), ("accepted", True))

    def test_recovery_and_status_over_http(self) -> None:
        cluster = started_cluster()
        for core_id in CORE_IDS:
            cluster.crash(core_id)
        for core_id in ("core-a", "core-b"):
            cluster.lose_disk(core_id)
        cluster.start_all()
        cluster.run(cluster.now + 5.0)
        status, document = http(cluster, "core-c", "GET", "/v1/core/status")
        self.assertEqual((status, document["phase"]), (200, "backup"))
        self.assertIn("runbook recover", document["note"])
        for body in (b"", b"[]", b'{"plan":1}', b"[" * 100_000):
            self.assertEqual(http(cluster, "core-c", "POST", "/v1/core/recover", body)[0], 400)
        self.assertEqual(http(cluster, "core-c", "GET", "/v1/core/other")[0], 404)
        ask_plan = b'{"plan":""}'
        refused = http(cluster, "core-a", "POST", "/v1/core/recover", ask_plan)
        self.assertEqual((refused[0], refused[1]["error"]["code"]), (409, "refused"))
        planned = http(cluster, "core-c", "POST", "/v1/core/recover", ask_plan)[1]
        self.assertTrue(planned["may_be_lost"])
        confirmed = json.dumps({"plan": planned["plan"]}).encode()
        done = http(cluster, "core-c", "POST", "/v1/core/recover", confirmed)
        self.assertEqual((done[0], done[1]["outcome"]), (200, "recovered"))
        self.assertTrue(wait_in_sync(cluster, list(CORE_IDS)))

    def test_recovery_is_not_needed_while_there_is_a_primary(self) -> None:
        cluster = started_cluster()
        cluster.run(cluster.now + 1.0)
        for core_id in CORE_IDS:
            answer = call_core(cluster, core_id, wire.RecoverRequest(""))
            self.assertEqual(answer.outcome, "not_needed")

    def test_damaged_disk_is_not_in_sync_until_replicated_again(self) -> None:
        cluster = started_cluster()
        call_core(cluster, "core-a", change_request(1, b"{}"))
        cluster.crash("core-c")
        del cluster.cores["core-c"].disk.files["control-log"]
        cluster.cores["core-c"].disk.problem = "damaged: control-log"
        cluster.start("core-c")
        self.assertTrue(wait_back(cluster, "core-c"))
        disks = {d.disk_id for d in cluster.primary().component.primary.view.in_sync}
        self.assertNotIn("disk-core-c:core-c-1", disks)

    def test_log_with_a_missing_record_is_not_in_sync_until_replicated_again(self) -> None:
        cluster = started_cluster()
        for version in range(1, 4):
            call_core(cluster, "core-a", change_request(version, b"{%d}" % version))
        cluster.run(cluster.now + 1.0)
        cluster.crash("core-c")
        del cluster.cores["core-c"].disk.files["control-log"][2]
        cluster.start("core-c")
        self.assertTrue(wait_back(cluster, "core-c"))
        disks = {d.disk_id for d in cluster.primary().component.primary.view.in_sync}
        self.assertNotIn("disk-core-c:core-c-1", disks)
        log = cluster.cores["core-c"].component.store.log
        self.assertEqual(log.last.sequence, 3)
