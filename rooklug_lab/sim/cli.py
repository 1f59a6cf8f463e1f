"""``rooklug-lab sim``: runs scenarios in virtual time over many seeds."""

import argparse
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from contextlib import nullcontext

import attrs

from rooklug_lab.deployment_plans import PLANS
from rooklug_lab.sim.mutations import MUTATIONS
from rooklug_lab.sim.runner import RunReport, run_scenario, scenario_faults
from rooklug_lab.sim.scenarios import FAULTS

DEFAULT_WORKERS = 4
LIST = "list"
MAX_SHOWN_VIOLATIONS = 3


@attrs.frozen
class Job:
    """One run to execute; ``without`` names the mutation that disables a guard, or is ""."""

    scenario: str
    seed: int
    deployment: str
    without: str = ""


@attrs.frozen
class JobResult:
    """The result of a job; ``crash`` is the exception of a reducer that raised, or ""."""

    job: Job
    report: RunReport | None
    violations: tuple[str, ...]
    crash: str = ""


def main(arguments: list[str]) -> int:
    """Run scenarios; exit 1 if any promise is broken, 2 on wrong arguments."""
    options = _parser().parse_args(arguments)
    if options.scenario == LIST:
        _print_list()
        return 0
    names = list(FAULTS) if options.scenario == "all" else options.scenario.split(",")
    for name in names:
        try:
            scenario_faults(name)
        except KeyError as unknown:
            print(f"no scenario {unknown}; see rooklug-lab list", file=sys.stderr)
            return 2
    jobs = [
        Job(name, seed, deployment, options.without or "")
        for name in names
        for deployment in options.deployment.split(",")
        for seed in _seeds(options.seeds)
    ]
    return 1 if _run_jobs(jobs, options) else 0


def _print_list() -> None:
    for name, action in FAULTS.items():
        print(f"  {name:26} {(action.__doc__ or '').strip().splitlines()[0]}")
    print("guards that --without switches off, and the promise that must then break:")
    for mutation in MUTATIONS.values():
        print(f"  {mutation.name:31} {mutation.promise} (in {mutation.scenario})")


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="rooklug-lab sim",
        description="Run scenarios in virtual time. Example: sim kill-primary --seeds 1-100",
    )
    parser.add_argument("scenario", help='names joined by ",", pairs by "+", "all" or "list"')
    parser.add_argument("--seeds", default="1-5", help="A-B or one number")
    parser.add_argument("--deployment", default=",".join(PLANS), help="payroll, quiz or both")
    parser.add_argument("--json", action="store_true", help="one JSON object a run")
    parser.add_argument(
        "--without", choices=sorted(MUTATIONS), help="switch a guard off: the oracle must see it"
    )
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKERS)
    return parser


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def _run_jobs(jobs: list[Job], options: argparse.Namespace) -> int:
    failed = 0
    os.environ.setdefault("PYTHONHASHSEED", "0")
    with ProcessPoolExecutor(max_workers=options.workers) as pool:
        for result in pool.map(run_job, jobs):
            failed += not (result.report and result.report.passed)
            _print_result(result, options.json)
    print(f"sim: {len(jobs) - failed} of {len(jobs)} runs passed", file=sys.stderr)
    return failed


def run_job(job: Job) -> JobResult:
    """Execute one run; an exception from a reducer is returned in ``crash``, not raised."""
    try:
        with MUTATIONS[job.without].switch_off() if job.without else nullcontext():
            run = run_scenario(job.scenario, job.seed, job.deployment)
    except Exception as error:  # a reducer raised: counts as a failed run
        text = f"{type(error).__name__}: {error}"
        return JobResult(job, None, (), text)
    violations = tuple(
        f"{name}: at {violation.at_s:.2f}: {violation.description}"
        for name, found in run.violations.items()
        for violation in found[:MAX_SHOWN_VIOLATIONS]
    )
    return JobResult(job, run.report, violations)


def _print_result(result: JobResult, as_json: bool) -> None:
    job, report = result.job, result.report
    repeat = f"rooklug-lab sim {job.scenario} --seeds {job.seed} --deployment {job.deployment}"
    repeat += f" --without {job.without}" if job.without else ""
    if report is None:
        print(f"{job.scenario} {job.deployment} seed {job.seed}: crashed: {result.crash}")
        print(f"  repeat: {repeat}")
        return
    if as_json:
        print(report.as_json())
    else:
        print(_summary_line(report))
    if not report.passed:
        for violation in result.violations:
            print(f"  {violation}", file=sys.stderr)
        print(f"  repeat: {repeat}", file=sys.stderr)


def _summary_line(report: RunReport) -> str:
    verdict = "passed" if report.passed else "FAILED"
    goodput = (report.goodput_before, report.goodput_during, report.goodput_after)
    shares = " ".join(f"{share:.3f}" for share in goodput)
    return (
        f"{verdict} {report.scenario} {report.deployment} seed {report.seed}: goodput {shares}, "
        f"quarter {report.seconds_to_quarter} s, lag p99 {report.configuration_lag_p99_s} s, "
        f"{report.probes} probes, {report.real_s:.1f} s"
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
