"""Runs one scenario with one seed and checks the promises of the system."""

import json
import time
from random import Random

import attrs

from rooklug_lab.deployment import build_deployment
from rooklug_lab.oracles.availability import goodput, seconds_to_a_quarter
from rooklug_lab.oracles.configuration import lags
from rooklug_lab.oracles.evidence import END_OF_RUN_S, Evidence, Violation
from rooklug_lab.oracles.promises import judge
from rooklug_lab.sim.scenarios import FAULTS, FaultAction
from rooklug_lab.sim.site import Site

CONFIGURE_AT_S = 4.0
TRAFFIC_AT_S = 20.0
WARM_UP_S = 10.0
FAULT_EARLIEST_S = 32.0
FAULT_SPREAD_S = 5.0
SECOND_FAULT_SPREAD_S = 8.0
TRAFFIC_S = 50.0
PATCH_INTERVAL_S = 3.0
SETTLE_S = 12.0
PAIR_SEPARATOR = "+"


@attrs.frozen
class RunReport:
    """The results of one run. Times in seconds; ``promises`` counts violations by promise."""

    scenario: str
    seed: int
    deployment: str
    promises: dict[str, int]
    goodput_before: float
    goodput_during: float
    goodput_after: float
    seconds_to_quarter: float | None
    configuration_lag_p50_s: float
    configuration_lag_p99_s: float
    configuration_lag_max_s: float
    probes: int
    requests: int
    virtual_s: float
    real_s: float
    passed: bool

    def as_json(self, with_real_time: bool = False) -> str:
        """Return one JSON object; without ``real_s`` the same seed gives the same text."""
        fields = attrs.asdict(self)
        if not with_real_time:
            del fields["real_s"]
        return json.dumps(fields, sort_keys=True)


@attrs.frozen
class Run:
    """A finished run: its report, its violations and the final state of the site."""

    report: RunReport
    violations: dict[str, list[Violation]]
    site: Site


def scenario_faults(name: str) -> list[FaultAction]:
    """Return the faults of a scenario, whose name is one fault or several joined by "+".

    Raises
    ------
    KeyError
        A part of the name isn't a known fault.
    """
    return [FAULTS[part] for part in name.split(PAIR_SEPARATOR)]


def run_scenario(name: str, seed: int, deployment_name: str) -> Run:
    """Run a scenario in virtual time, then check its evidence against every promise."""
    started_at_s = time.perf_counter()
    deployment = build_deployment(deployment_name)
    site = Site(deployment, seed)
    site.evidence.homes = _home_regions(deployment.document)
    site.add_operator(())
    site.add_operator((), region=deployment.regions[-1], watch_interval_s=0.0)
    site.add_callers(TRAFFIC_AT_S, TRAFFIC_S)
    random = Random(f"{name}/{seed}")
    _schedule(site, scenario_faults(name), random)
    site.start_all()
    site.world.run_for(TRAFFIC_AT_S + TRAFFIC_S + SETTLE_S)
    site.read_back()
    evidence = site.evidence
    evidence.documents = site.orders.expected_documents(evidence.operators)
    violations = judge(evidence)
    report = _report(
        name, seed, deployment_name, site, violations, time.perf_counter() - started_at_s
    )
    return Run(report, violations, site)


def _schedule(site: Site, faults: list[FaultAction], random: Random) -> None:
    site.at(CONFIGURE_AT_S, site.order_first_document)
    patch_at = TRAFFIC_AT_S
    while patch_at < TRAFFIC_AT_S + TRAFFIC_S:
        site.at(patch_at + random.random(), site.order_patch)
        patch_at += PATCH_INTERVAL_S
    fault_at = FAULT_EARLIEST_S + random.random() * FAULT_SPREAD_S
    for fault in faults:
        site.at(fault_at, lambda f=fault: f(site, random))
        fault_at += random.random() * SECOND_FAULT_SPREAD_S


def _home_regions(document: bytes) -> dict[str, tuple[str, ...]]:
    routes = json.loads(document)["routes"]
    return {name: tuple(route.get("home_regions", ())) for name, route in routes.items()}


def _report(
    name: str, seed: int, deployment: str, site: Site, violations: dict, real_s: float
) -> RunReport:
    evidence = site.evidence
    begin, end = _fault_window(evidence)
    lag = lags(evidence)
    quarter = seconds_to_a_quarter(evidence, end)
    return RunReport(
        scenario=name,
        seed=seed,
        deployment=deployment,
        promises={promise: len(found) for promise, found in violations.items()},
        goodput_before=round(goodput(evidence, evidence.traffic_started_s + WARM_UP_S, begin), 4),
        goodput_during=round(goodput(evidence, begin, end), 4),
        goodput_after=round(goodput(evidence, end, evidence.traffic_ended_s), 4),
        seconds_to_quarter=None if quarter == END_OF_RUN_S else round(quarter, 2),
        configuration_lag_p50_s=_quantile(lag, 0.5),
        configuration_lag_p99_s=_quantile(lag, 0.99),
        configuration_lag_max_s=_quantile(lag, 1.0),
        probes=sum(journal.probes for journal in evidence.replicas),
        requests=len(evidence.requests()),
        virtual_s=site.world.now,
        real_s=round(real_s, 3),
        passed=not any(violations.values()),
    )


def _fault_window(evidence: Evidence) -> tuple[float, float]:
    if not evidence.faults:
        return FAULT_EARLIEST_S, FAULT_EARLIEST_S + FAULT_SPREAD_S
    begin = min(fault.started_s for fault in evidence.faults)
    end = max(fault.ended_s for fault in evidence.faults)
    return begin, min(end, evidence.traffic_ended_s)


def _quantile(sorted_values: list[float], share: float) -> float:
    if not sorted_values:
        return 0.0
    index = min(len(sorted_values) - 1, int(share * len(sorted_values)))
    return round(sorted_values[index], 3)
