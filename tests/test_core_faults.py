"""Seeded faults on three cores: all guarantees hold, and without any one guard one is broken."""

import asyncio
import contextlib
import sys
import unittest
from collections import Counter
from unittest import mock

from rooklug.core.constants import LEASE_GUARD_S
from rooklug.wire.generated.core.ttypes import MemberDisk, PrepareRequest
from tests import core_mutations
from tests.core_cluster import Cluster
from tests.core_faults import run_seed
from tests.core_machine import CORE_IDS
from tests.core_mutations import Mutation
from tests.core_oracle import BrokenGuaranteeError, Operator, Oracle
from tests.core_storm import Client, free_address
from tests.test_core_replication import call_core, change_request, started_cluster

SEEDS = range(20)
MUTATION_SEEDS = range(40)


class FaultTest(unittest.TestCase):
    def test_all_guarantees_hold_with_every_seed(self) -> None:
        counts: Counter = Counter()
        for seed in SEEDS:
            with self.subTest(f"run_seed({seed})"):
                oracle, faults = run_seed(seed)
                counts.update(faults.counts)
                counts["acknowledged"] += len(oracle.acknowledged)
        print(f"{len(SEEDS)} seeds: {dict(sorted(counts.items()))}", file=sys.stderr)
        for kind in ("crash", "freeze", "stall", "isolate", "loss", "lost disk", "power cut"):
            self.assertGreater(counts[kind], 0)
        self.assertGreater(counts["acknowledged"], 100 * len(SEEDS) // 10)

    def test_same_seed_same_history(self) -> None:
        one, _ = run_seed(3, seconds=15.0)
        other, _ = run_seed(3, seconds=15.0)
        self.assertEqual(one.committed, other.committed)
        self.assertEqual(one.cluster.messages, other.cluster.messages)


class GuardTest(unittest.TestCase):
    def caught(self, mutation: Mutation) -> None:
        """Check that without the guard some seed breaks a guarantee."""
        with mock.patch.object(mutation.owner, mutation.name, mutation.replacement):
            for seed in MUTATION_SEEDS:
                try:
                    run_seed(seed)
                except BrokenGuaranteeError:
                    return
        self.fail(f"no seed detects that {mutation.owner.__name__}.{mutation.name} is disabled")

    def test_commit_requires_all_in_sync_disks(self) -> None:
        self.caught(core_mutations.COMMIT_FROM_OWN_DISK)

    def test_logs_are_compared_in_a_new_view(self) -> None:
        self.caught(core_mutations.SKIP_LOG_COMPARISON)

    def test_primary_checks_its_lease(self) -> None:
        self.caught(core_mutations.IGNORE_LEASE)

    def test_identities_of_accepted_changes_are_kept(self) -> None:
        self.caught(core_mutations.KEEP_NEWEST_IDENTITY_ONLY)


def check_acknowledged_change_survives_power_cut() -> None:
    """Crash all cores while a backup's disk stalls; an acknowledged change must survive."""
    for seed in range(6):
        cluster = started_cluster(seed)
        cluster.run(cluster.now + 0.5)  # until every core has synced the first view
        oracle = Oracle(cluster)
        cluster.cores["core-b"].disk.stalled_until = cluster.now + 0.8
        answer = call_core(cluster, "core-a", change_request(1, b"{}"), 0.5)
        for core_id in CORE_IDS:
            cluster.cores[core_id].unsynced.clear()
            cluster.crash(core_id)
        cluster.start("core-b")
        cluster.start("core-c")
        cluster.run(cluster.now + 10.0, lambda cluster=cluster: cluster.primary() is not None)
        oracle.check(cluster.primary() is not None, "no primary after the power cut")
        again = call_core(cluster, cluster.primary().core_id, change_request(1, b"{}"))
        lost = answer is not None and answer.outcome == "accepted" and not again.repeated
        oracle.check(not lost, "acknowledged change is lost|two entries committed")


class DirectedGuardTest(unittest.TestCase):
    def test_backup_cut_off_from_the_primary_does_not_depose_it(self) -> None:
        cluster = started_cluster()
        oracle = Oracle(cluster)
        Operator(oracle, cluster.random, "amal").begin()
        cluster.blocked_links |= {("core-a", "core-b"), ("core-b", "core-a")}
        cluster.run(cluster.now + 10.0)
        self.assertIs(cluster.primary(), cluster.cores["core-a"])

    def test_no_promise_to_another_core_while_the_lease_is_guarded(self) -> None:
        cluster = started_cluster()
        cluster.run(cluster.now + 1.0)
        rival = MemberDisk(core_id="core-b", disk_id="disk-core-b:core-b-1")
        primary = MemberDisk(core_id="core-a", disk_id="disk-core-a:core-a-1")
        refused = call_core(cluster, "core-c", PrepareRequest(proposer=rival, epoch=4))
        self.assertFalse(refused.granted)
        granted = call_core(cluster, "core-c", PrepareRequest(proposer=primary, epoch=6))
        self.assertTrue(granted.granted)
        cluster.isolate("core-a")
        cluster.block_link("core-b", "core-c")
        cluster.run(cluster.now + LEASE_GUARD_S + 0.1)
        granted = call_core(cluster, "core-c", PrepareRequest(proposer=rival, epoch=7))
        self.assertTrue(granted.granted)

    def test_answers_are_sent_after_the_sync(self) -> None:
        check_acknowledged_change_survives_power_cut()
        with contextlib.ExitStack() as replaced:
            # An answer states what is synced, so that an early answer alone does no harm.
            for mutation in (
                core_mutations.ANSWER_BEFORE_SYNC,
                core_mutations.COUNT_WRITTEN_AS_SYNCED,
            ):
                replaced.enter_context(
                    mock.patch.object(mutation.owner, mutation.name, mutation.replacement)
                )
            replaced.enter_context(
                self.assertRaisesRegex(
                    BrokenGuaranteeError, "acknowledged change is lost|two entries committed"
                )
            )
            check_acknowledged_change_survives_power_cut()


class LateMessageTest(unittest.TestCase):
    def test_cluster_serves_again_after_all_cores_were_down(self) -> None:
        cluster = Cluster(5)
        cluster.delayed_share = 0.05
        cluster.start_all()
        cluster.run(10.0, lambda: cluster.primary() is not None)
        for _ in range(5):
            for core_id in CORE_IDS:
                cluster.crash(core_id)
            cluster.start_all()
            back = cluster.run(cluster.now + 12.0, lambda: cluster.primary() is not None)
            self.assertTrue(back)


class StormClientTest(unittest.TestCase):
    def test_a_call_to_an_unused_address_ends_without_an_answer(self) -> None:
        async def call_unused_address() -> object:
            client = Client()
            answer = await client.ask(free_address(), change_request(1, b"{}"), 1.0)
            client.close()
            return answer

        self.assertIsNone(asyncio.run(call_unused_address()))
