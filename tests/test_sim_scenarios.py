"""Every scenario with one fixed seed; ``rooklug-lab sim all --seeds A-B`` runs more seeds."""

import os
import unittest
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from rooklug_lab.sim.cli import Job, run_job
from rooklug_lab.sim.mutations import MUTATIONS
from rooklug_lab.sim.runner import run_scenario
from rooklug_lab.sim.scenarios import FAULTS

WORKERS = min(6, os.cpu_count() or 1)
SEED = 11
PAIRS = ("kill-zone+stall-disk", "cut-regions+kill-primary-with-disk", "kill-control+burst")
SEEDS_FOR_A_MUTATION = range(1, 5)


def run_jobs(jobs: list[Job]) -> list:
    """Run jobs in worker processes; return their results in the order of the jobs."""
    context = get_context("spawn")
    with ProcessPoolExecutor(max_workers=WORKERS, mp_context=context) as pool:
        return list(pool.map(run_job, jobs))


class ScenarioTest(unittest.TestCase):
    def test_every_scenario_keeps_every_promise(self) -> None:
        names = [*FAULTS, *PAIRS]
        jobs = [
            Job(name, SEED, ("payroll", "quiz")[number % 2]) for number, name in enumerate(names)
        ]
        for finished in run_jobs(jobs):
            with self.subTest(job=finished.job):
                self.assertEqual((finished.violations, finished.crash), ((), ""))

    def test_every_disabled_guard_breaks_its_promise(self) -> None:
        missing = dict(MUTATIONS)
        for seed in SEEDS_FOR_A_MUTATION:
            jobs = [
                Job(mutation.scenario, seed, mutation.deployment, mutation.name)
                for mutation in missing.values()
            ]
            for finished in run_jobs(jobs):
                mutation = missing[finished.job.without]
                if finished.report and finished.report.promises[mutation.promise]:
                    del missing[mutation.name]
        self.assertEqual(list(missing), [])

    def test_same_seed_gives_the_same_report(self) -> None:
        first = run_scenario("kill-zone", 5, "payroll").report.as_json()
        second = run_scenario("kill-zone", 5, "payroll").report.as_json()
        self.assertEqual(first, second)
