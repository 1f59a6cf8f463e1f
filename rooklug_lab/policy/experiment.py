"""Runs cases in separate processes, and compares two variants over pairs of runs."""

import math
import statistics
from collections.abc import Iterable, Iterator
from multiprocessing import get_context

import attrs

from rooklug_lab.policy.credit import Usage, Verdict
from rooklug_lab.policy.settings import Setting
from rooklug_lab.policy.shapes import read_site
from rooklug_lab.policy.world import PolicyWorld

NOISE_ERRORS = 2.0
"""A mean difference within this many standard errors of 0 counts as noise."""


@attrs.frozen
class Case:
    """One run: site, day, seed, the factor of every arrival rate, and the changed constants."""

    site: str
    day: str
    seed: int
    load: float = 1.0
    settings: tuple[Setting, ...] = ()

    @property
    def label(self) -> str:
        """Site, day and seed, as printed in reports."""
        return f"{self.site} {self.day} {self.seed}"


@attrs.frozen
class CaseResult:
    """The result of a case; ``served`` counts the requests that were answered completely."""

    case: Case
    verdict: Verdict
    usage: Usage
    requests: int
    served: int


@attrs.frozen
class Difference:
    """The mean difference of the total score over pairs of runs, and its standard error."""

    mean: float
    error: float
    pairs: int

    @property
    def verdict(self) -> str:
        """The words "better", "worse", or "noise"; a single pair is always noise."""
        if self.pairs < 2 or abs(self.mean) <= NOISE_ERRORS * self.error:
            return "noise"
        return "better" if self.mean > 0 else "worse"


def run_case(case: Case) -> CaseResult:
    """Run one case in this process; its settings stay applied afterwards."""
    for setting in case.settings:
        setting.apply()
    world = PolicyWorld(read_site(case.site), case.day, case.seed, case.load)
    verdict = world.run()
    served = sum(outcome.complete for outcome in world.outcomes)
    return CaseResult(case, verdict, world.usage, len(world.outcomes), served)


def run_cases(cases: Iterable[Case], workers: int) -> Iterator[CaseResult]:
    """Run cases in parallel, each in a new process, so that settings don't outlive their case."""
    with get_context("spawn").Pool(workers, maxtasksperchild=1) as pool:
        yield from pool.imap(run_case, list(cases), chunksize=1)


def difference(values: list[float]) -> Difference:
    """Return the mean of paired differences; the error of a single pair is NaN."""
    error = statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else math.nan
    return Difference(statistics.mean(values), error, len(values))
