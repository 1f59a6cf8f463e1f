"""Once-only requests under random faults, with all guards and with one guard disabled."""

import unittest

from tests import once_mutations as mutations
from tests.once_chaos import Chaos
from tests.once_support import Site

CHAOS_S = 8.0
# Mutation, seed, and whether roles are handed over while held, for a run that detects it.
DETECTED_BY = (
    (mutations.with_quorum_of_one, 8, True),
    (mutations.without_reading, 10, False),
    (mutations.with_second_write, 5, False),
    (mutations.with_release_while_writing, 2, False),
    (mutations.with_lost_front_released, 1, False),
    (mutations.with_not_run_while_unknown, 8, False),
    (mutations.with_not_run_after_writing, 1, False),
    (mutations.with_any_answer_accepted, 2, False),
    (mutations.with_claimed_keys_granted, 1, False),
)


class ChaosTest(unittest.TestCase):
    def check(self, seed: int, overlaps: bool, disk_losses: bool) -> None:
        site = Site(seed)
        chaos = Chaos(site, overlaps, disk_losses)
        chaos.run(CHAOS_S)
        details = f"seed {seed}: {chaos.injected}"
        self.assertEqual(site.violations(), [], details)
        self.assertEqual(site.late_keys_done(chaos.healed_at), 1.0, details)
        self.assertGreater(len(site.executions), 300)

    def test_crashes_partitions_and_freezes(self) -> None:
        for seed in (1, 2):
            self.check(seed, overlaps=False, disk_losses=False)

    def test_two_owners_of_a_shard(self) -> None:
        for seed in (3, 4):
            self.check(seed, overlaps=True, disk_losses=False)

    def test_lost_disk(self) -> None:
        for seed in (5, 6):
            self.check(seed, overlaps=True, disk_losses=True)

    def test_oracle_detects_each_disabled_guard(self) -> None:
        for mutation, seed, overlaps in DETECTED_BY:
            with mutation():
                site = Site(seed)
                Chaos(site, overlaps, stop_when_broken=True).run(CHAOS_S)
            self.assertNotEqual(site.violations(), [], mutation.__name__)
