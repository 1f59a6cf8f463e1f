"""Seeded faults over three cores: no promise is broken; without a guard, one is."""

import asyncio
import sys
import unittest
from collections import Counter
from unittest import mock

from rooklug.core.constants import LEASE_GUARD_S
from rooklug.wire.generated.core.ttypes import MemberDisk, PrepareRequest
from tests import core_mutations
from tests.core_cluster import CORE_IDS, Cluster
from tests.core_faults import run_seed
from tests.core_mutations import Mutation
from tests.core_oracle import BrokenPromiseError, Operators, Oracle
from tests.core_storm import Client, free_address
from tests.test_core_replication import ask, change, started

SEEDS = range(20)
MUTATION_SEEDS = range(40)


class FaultTest(unittest.TestCase):
    def test_no_seed_breaks_a_promise(self) -> None:
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
        """Without the guard, some seed breaks a promise."""
        with mock.patch.object(mutation.owner, mutation.name, mutation.replacement):
            for seed in MUTATION_SEEDS:
                try:
                    run_seed(seed)
                except BrokenPromiseError:
                    return
        self.fail(f"no seed notices that {mutation.owner.__name__}.{mutation.name} is off")

    def test_all_in_sync_acknowledge(self) -> None:
        self.caught(core_mutations.ONE_DISK)

    def test_tails_are_compared(self) -> None:
        self.caught(core_mutations.NO_COMPARISON)

    def test_primary_looks_at_its_lease(self) -> None:
        self.caught(core_mutations.NO_LEASE)

    def test_table_of_changes_is_kept(self) -> None:
        self.caught(core_mutations.NEWEST_ONLY)


def survives_a_power_cut() -> None:
    """All lose power while a backup's disk stalls; what was acknowledged must be back."""
    for seed in range(6):
        cluster = started(seed)
        oracle = Oracle(cluster)
        cluster.cores["core-b"].disk.stalled_until = cluster.now + 0.8
        answer = ask(cluster, "core-a", change(1, b"{}"), 0.5)
        for core_id in CORE_IDS:
            cluster.cores[core_id].unsynced.clear()
            cluster.crash(core_id)
        cluster.start("core-b")
        cluster.start("core-c")
        cluster.run(cluster.now + 10.0, lambda cluster=cluster: cluster.primary() is not None)
        oracle.check(cluster.primary() is not None, "no primary after the power cut")
        again = ask(cluster, cluster.primary().core_id, change(1, b"{}"))
        lost = answer is not None and answer.outcome == "accepted" and not again.repeated
        oracle.check(not lost, "an acknowledged change is lost")


class DirectedGuardTest(unittest.TestCase):
    def test_backup_that_hears_no_primary_takes_nothing_from_one_that_others_hear(self) -> None:
        cluster = started()
        oracle = Oracle(cluster)
        Operators(oracle, cluster.random, "amal").begin()
        cluster.cuts |= {("core-a", "core-b"), ("core-b", "core-a")}
        cluster.run(cluster.now + 10.0)
        self.assertIs(cluster.primary(), cluster.cores["core-a"])

    def test_no_promise_to_others_within_the_quiet_time(self) -> None:
        cluster = started()
        cluster.run(cluster.now + 1.0)
        rival = MemberDisk(core_id="core-b", disk_id="disk-core-b:core-b-1")
        primary = MemberDisk(core_id="core-a", disk_id="disk-core-a:core-a-1")
        refused = ask(cluster, "core-c", PrepareRequest(proposer=rival, epoch=4))
        self.assertFalse(refused.granted)
        granted = ask(cluster, "core-c", PrepareRequest(proposer=primary, epoch=6))
        self.assertTrue(granted.granted)
        cluster.isolate("core-a")
        cluster.cut("core-b", "core-c")
        cluster.run(cluster.now + LEASE_GUARD_S + 0.1)
        granted = ask(cluster, "core-c", PrepareRequest(proposer=rival, epoch=7))
        self.assertTrue(granted.granted)

    def test_answers_after_the_sync(self) -> None:
        survives_a_power_cut()
        mutation = core_mutations.BEFORE_THE_SYNC
        replaced = mock.patch.object(mutation.owner, mutation.name, mutation.replacement)
        with replaced, self.assertRaises(BrokenPromiseError):
            survives_a_power_cut()


class LateMessageTest(unittest.TestCase):
    def test_cluster_serves_again_after_every_core_was_down(self) -> None:
        cluster = Cluster(5)
        cluster.late = 0.05
        cluster.start_all()
        cluster.run(10.0, lambda: cluster.primary() is not None)
        for _ in range(5):
            for core_id in CORE_IDS:
                cluster.crash(core_id)
            cluster.start_all()
            back = cluster.run(cluster.now + 12.0, lambda: cluster.primary() is not None)
            self.assertTrue(back)


class StormClientTest(unittest.TestCase):
    def test_a_call_that_nobody_takes_ends_without_an_answer(self) -> None:
        async def ask_nobody() -> object:
            client = Client()
            answer = await client.ask(free_address(), change(1, b"{}"), 1.0)
            client.close()
            return answer

        self.assertIsNone(asyncio.run(ask_nobody()))
