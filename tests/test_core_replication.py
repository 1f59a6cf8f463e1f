"""Basic replication: first view, acknowledged changes, failover, restart from disk."""

import hashlib
import unittest
from typing import Any

from rooklug.model import internal_events as internal
from rooklug.wire.generated.control import ttypes as control
from tests.core_cluster import Cluster
from tests.core_machine import CORE_IDS, Core


def change_request(
    version: int, body: bytes, base: int | None = None
) -> control.SubmitChangeRequest:
    return control.SubmitChangeRequest(
        version=version,
        digest=hashlib.sha256(body).hexdigest(),
        body=body,
        is_patch=base is not None,
        base_version=base or 0,
    )


def call_core(cluster: Cluster, core_id: str, request: Any, wait_s: float = 5.0) -> Any:
    answers: list[Any] = []
    cluster.request(core_id, request, answers.append)
    cluster.run(cluster.now + wait_s, lambda: bool(answers))
    return answers[0] if answers else None


def started_cluster(seed: int = 1) -> Cluster:
    cluster = Cluster(seed)
    cluster.start_all()
    assert cluster.run(10.0, lambda: cluster.primary() is not None)
    return cluster


def recorded_events(core: Core, kind: type) -> list[Any]:
    return [event for _, event in core.recorder.seen if isinstance(event, kind)]


class FirstViewTest(unittest.TestCase):
    def test_three_blank_cores_form_the_first_view(self) -> None:
        cluster = started_cluster()
        self.assertEqual(cluster.primary().core_id, "core-a")
        cluster.run(cluster.now + 2.0)
        for core in cluster.cores.values():
            self.assertEqual(core.recorder.status.in_sync, list(CORE_IDS))
            self.assertEqual(
                recorded_events(core, internal.PrimaryChanged)[-1].address, "127.0.0.1:7000"
            )

    def test_two_blank_cores_form_no_view(self) -> None:
        cluster = Cluster(1)
        cluster.start("core-a")
        cluster.start("core-b")
        cluster.run(20.0)
        self.assertIsNone(cluster.primary())
        self.assertEqual(cluster.cores["core-a"].recorder.status.phase, "blank")


class CommitTest(unittest.TestCase):
    def test_acknowledged_change_is_on_every_disk_and_is_read_back_unchanged(self) -> None:
        cluster = started_cluster()
        answer = call_core(cluster, "core-a", change_request(1, b'{"a":1}'))
        self.assertEqual((answer.outcome, answer.repeated), ("accepted", False))
        for core in cluster.cores.values():
            self.assertTrue(any(b'{"a":1}' in r for r in core.disk.files["control-log"]))
        read = call_core(cluster, "core-a", control.ReadConfigurationRequest(linearizable=True))
        self.assertEqual((read.ok, read.configuration.document), (True, b'{"a":1}'))
        cluster.run(cluster.now + 1.0)
        for core in cluster.cores.values():
            committed = recorded_events(core, internal.ConfigurationCommitted)[-1]
            self.assertEqual((committed.version.epoch, committed.version.counter), (3, 1))

    def test_backup_answers_with_the_address_of_the_primary(self) -> None:
        cluster = started_cluster()
        cluster.run(cluster.now + 1.0)
        answer = call_core(cluster, "core-b", change_request(1, b"{}"))
        self.assertEqual(answer.outcome, "not_primary")
        self.assertEqual(answer.primary_address, "127.0.0.1:7000")


class FailoverTest(unittest.TestCase):
    def test_next_primary_has_every_acknowledged_change(self) -> None:
        cluster = started_cluster()
        self.assertEqual(call_core(cluster, "core-a", change_request(1, b"{}")).outcome, "accepted")
        cluster.crash("core-a")
        self.assertTrue(cluster.run(cluster.now + 10.0, lambda: cluster.primary() is not None))
        primary = cluster.primary().core_id
        self.assertEqual(call_core(cluster, primary, change_request(2, b"{2}")).outcome, "accepted")
        again = call_core(cluster, primary, change_request(1, b"{}"))
        self.assertEqual((again.outcome, again.repeated), ("accepted", True))

    def test_all_cores_restart_from_disk(self) -> None:
        cluster = started_cluster()
        self.assertEqual(call_core(cluster, "core-a", change_request(1, b"{}")).outcome, "accepted")
        for core_id in CORE_IDS:
            cluster.crash(core_id)
        cluster.start_all()
        self.assertTrue(cluster.run(cluster.now + 10.0, lambda: cluster.primary() is not None))
        read = call_core(
            cluster,
            cluster.primary().core_id,
            control.ReadConfigurationRequest(linearizable=True),
        )
        self.assertEqual((read.configuration.version, read.configuration.document), (1, b"{}"))

    def test_restarted_member_comes_back_in_sync(self) -> None:
        cluster = started_cluster()
        cluster.crash("core-c")
        self.assertEqual(call_core(cluster, "core-a", change_request(1, b"{}")).outcome, "accepted")
        cluster.start("core-c")
        everybody = list(CORE_IDS)
        status = cluster.cores["core-a"].recorder
        self.assertTrue(cluster.run(cluster.now + 20.0, lambda: status.status.in_sync == everybody))
