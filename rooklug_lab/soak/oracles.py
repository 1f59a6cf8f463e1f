"""Judges a soak's ledger by the rules that users check.

Each oracle yields one text per violation. A request may run again only on routes that allow it;
the soak's routes ``REPEATABLE_PREFIX`` are the only such ones.
"""

import json
from collections import Counter
from collections.abc import Callable, Iterator

from rooklug_lab.soak.ledger import Change, Ledger

REPEATABLE_PREFIX = "/again/"
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
SERVED_SHARE_AFTER_QUIET = 0.25
RECOVERY_S = 12.0

Oracle = Callable[[Ledger], Iterator[str]]


def runs_once(ledger: Ledger) -> Iterator[str]:
    """TWICE: a request that is not idempotent runs at most once."""
    paths = {request.request_id: request.path for request in ledger.requests}
    for request_id, count in Counter(run.request_id for run in ledger.runs).items():
        if count > 1 and not paths.get(request_id, "").startswith(REPEATABLE_PREFIX):
            yield f"{request_id} ran {count} times"


def promises_hold(ledger: Ledger) -> Iterator[str]:
    """REFUSED: a request that was answered as not run has not run and never does."""
    ran = {run.request_id for run in ledger.runs}
    for request in ledger.requests:
        repeatable = request.path.startswith(REPEATABLE_PREFIX)
        if request.status in PROMISES_NOT_RUN and request.request_id in ran and not repeatable:
            yield f"{request.request_id} ran, and was answered with {request.status}"


def only_asked(ledger: Ledger) -> Iterator[str]:
    """UNASKED: replicas run only requests that a client has sent."""
    sent = {request.request_id for request in ledger.requests}
    for run in ledger.runs:
        if run.request_id not in sent:
            yield f"{run.request_id} ran, and no client sent it"


def answers_are_whole(ledger: Ledger) -> Iterator[str]:
    """MIXED, ORDER: a success is the replica's whole answer to this request, in order."""
    for request in ledger.requests:
        if request.problem:
            yield f"{request.request_id} on {request.path}: {request.problem}"


def invalid_is_refused(ledger: Ledger) -> Iterator[str]:
    """CONFIG: no invalid configuration is acknowledged, and every order gets a clear answer."""
    for change in ledger.changes:
        if change.status == 200 and not change.valid:
            yield f"an invalid configuration with version {change.version} was acknowledged"
        if not change.status:
            yield f"the configuration sent at {change.sent_at:.1f} got no clear answer"


def acknowledged_is_kept(ledger: Ledger) -> Iterator[str]:
    """CONFIG, LOST: the newest acknowledged configuration is read back, also after a restart."""
    acknowledged = [change for change in ledger.changes if change.status == 200]
    if not acknowledged:
        yield "no configuration was ever acknowledged"
        return
    newest = max(acknowledged, key=lambda change: change.version)
    for name, body in (
        ("at the end", ledger.read_back),
        ("after the restart", ledger.read_back_after_restart),
    ):
        yield from (f"{name}: {problem}" for problem in _read_problems(ledger, newest, body))


def _read_problems(ledger: Ledger, newest: Change, body: bytes) -> Iterator[str]:
    if not body:
        yield "no configuration is read back"
        return
    read = json.loads(body)
    if read["version"] < newest.version:
        yield f"version {read['version']} is read back, {newest.version} was acknowledged"
    sent = [c.body for c in ledger.changes if c.version == read["version"] and c.valid]
    if not any(json.loads(candidate) == read for candidate in sent):
        yield f"version {read['version']} is not read back as it was sent"


def bases_are_taken_once(ledger: Ledger) -> Iterator[str]:
    """CONFIG: two changes on top of the same version are not both acknowledged.

    Exactly the same configuration sent again is the same change, and is acknowledged again.
    """
    acknowledged = {(c.base, c.body) for c in ledger.changes if c.status == 200}
    bases = Counter(base for base, _ in acknowledged)
    for base, count in bases.items():
        if count > 1:
            yield f"{count} changes on top of version {base} were acknowledged"


def processes_stay(ledger: Ledger) -> Iterator[str]:
    """Fault: no process ends by itself."""
    for end in ledger.ends:
        if not end.by_us:
            yield f"{end.process} ended by itself with exit code {end.exit_code} at {end.at:.1f}"


def stops_are_clean(ledger: Ledger) -> Iterator[str]:
    """A process that is asked to stop ends with exit code 0."""
    for end in ledger.ends:
        if end.by_us and end.exit_code > 0:
            yield f"{end.process} was asked to stop and ended with exit code {end.exit_code}"


def service_returns(ledger: Ledger) -> Iterator[str]:
    """RECOVER, Fault: requests are served again ``RECOVERY_S`` after the last event."""
    late = [r for r in ledger.requests if r.sent_at > ledger.quiet_from + RECOVERY_S]
    served = sum(request.status == 200 for request in late)
    if not late or served < SERVED_SHARE_AFTER_QUIET * len(late):
        yield f"{served} of {len(late)} requests were served after the last event"


def fronts_answer(ledger: Ledger) -> Iterator[str]:
    """A running front answers its readiness check within a second once it is quiet."""
    yield from (f"{name} doesn't answer its readiness check" for name in ledger.unready_fronts)


ORACLES: dict[str, Oracle] = {
    oracle.__name__: oracle
    for oracle in (
        runs_once,
        promises_hold,
        only_asked,
        answers_are_whole,
        invalid_is_refused,
        acknowledged_is_kept,
        bases_are_taken_once,
        processes_stay,
        stops_are_clean,
        service_returns,
        fronts_answer,
    )
}


def judge(ledger: Ledger) -> dict[str, list[str]]:
    """Return the violations by oracle, without the oracles that found none."""
    found = {name: list(oracle(ledger)) for name, oracle in ORACLES.items()}
    return {name: problems for name, problems in found.items() if problems}
