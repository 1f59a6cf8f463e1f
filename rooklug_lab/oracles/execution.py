"""Promises about what runs: at most once, never after "not run", and only at home."""

from collections import defaultdict

from rooklug_lab.oracles.evidence import Evidence, Violation
from rooklug_lab.standins.records import Outcome


def runs_at_most_once(evidence: Evidence) -> list[Violation]:
    """A once-only key is executed at most once over all back ends."""
    executions = defaultdict(list)
    for backend in evidence.backends:
        for execution in backend.executions:
            executions[execution.key].append(execution)
    return [
        Violation(runs[1].at_s, f"key {key} ran {len(runs)} times: {runs}")
        for key, runs in executions.items()
        if len(runs) > 1
    ]


def not_run_never_runs(evidence: Evidence) -> list[Violation]:
    """An attempt that was answered "not run" ran nowhere, before or after."""
    ran_at: dict[str, float] = {}
    for replica in evidence.replicas:
        for generation in replica.generations:
            ran_at[generation.request_id] = generation.started_s
    for backend in evidence.backends:
        for execution in backend.executions:
            ran_at[execution.request_id] = execution.at_s
    return [
        Violation(ran_at[attempt.request_id], f"{attempt.request_id} ran, but was 'not run'")
        for request in evidence.requests()
        for attempt in request.attempts
        if attempt.outcome is Outcome.NOT_RUN and attempt.request_id in ran_at
    ]


def stays_home(evidence: Evidence) -> list[Violation]:
    """A route with home regions is served only there."""
    violations = []
    for replica in evidence.replicas:
        for generation in replica.generations:
            homes = evidence.homes.get(generation.route, ())
            if homes and generation.region not in homes:
                text = f"{generation.request_id} of {generation.route} ran in {generation.region}"
                violations.append(Violation(generation.started_s, text))
    route_of_key = {request.key: request.route for request in evidence.requests() if request.key}
    for backend in evidence.backends:
        region = evidence.region_of_backend.get(backend.backend_id, "")
        for execution in backend.executions:
            homes = evidence.homes.get(route_of_key.get(execution.key, ""), ())
            if homes and region not in homes:
                text = f"key {execution.key} ran in {region}"
                violations.append(Violation(execution.at_s, text))
    return violations


def answers_are_whole(evidence: Evidence) -> list[Violation]:
    """No answer of another request, no skipped, repeated or spliced piece, no false end."""
    finished = {
        (replica.replica_id, generation.request_id)
        for replica in evidence.replicas
        for generation in replica.generations
        if generation.outcome.value == "done"
    }
    violations = []
    for request in evidence.requests():
        violations.extend(
            Violation(request.ended_s, f"{request.request_id}: {problem}")
            for problem in request.problems
        )
        if request.outcome is not Outcome.DONE or request.key or not request.served_by:
            continue
        replica_id = request.served_by.split("/")[0]
        if not any((replica_id, a.request_id) in finished for a in request.attempts):
            text = f"{request.request_id} looked complete, but {replica_id} didn't finish it"
            violations.append(Violation(request.ended_s, text))
    return violations
