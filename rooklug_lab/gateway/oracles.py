"""Invariants of a gateway deployment, checked against the journal of a finished run.

The bounds are the users' requirements: no new requests reach a leaving replica after 4 s or a
drained zone after 5 s, a change is in force after 3 s, and a quarter of the traffic is served
12 s after a fault. An oracle takes the journal and the rate that a cold replica may get, in
requests per second, and yields one text per violation.
"""

import json
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from rooklug.gateway.retry_budget import RetryBudgetSettings
from rooklug_lab.gateway.front_state_oracle import fronts_keep_up
from rooklug_lab.gateway.journal import Journal, Order, Run
from rooklug_lab.gateway.replicas import complete_stream

LEAVING_S = 4.0
DRAINED_S = 5.0
IN_FORCE_S = 3.0
RECOVERY_S = 12.0
FAULT_FREE_S = 4.0
MIN_SERVED_SHARE = 0.25
REPEATABLE_PREFIX = "/again/"
REPEATABLE_REPLICAS = 2
HOME_PREFIX = "/home-"
"""Path prefix of routes bound to one region, whose name follows the prefix."""
RETRY_BUDGET = RetryBudgetSettings(ratio=0.2, window_s=10.0, slack=8.0)
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5
ACKNOWLEDGED_WITHIN_S = 5.0

Oracle = Callable[[Journal, float], Iterator[str]]


def runs_once(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """No request is executed twice, unless its route allows repeats."""
    repeatable = _repeatable(journal)
    for request_id, count in Counter(run.request_id for run in journal.runs).items():
        if count > 1 and request_id not in repeatable:
            yield f"{request_id} ran {count} times"


def repeats_within_limits(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """A repeatable request is executed no more often than its route's ``max_replicas``."""
    counts = Counter(run.request_id for run in journal.runs)
    for request_id in sorted(_repeatable(journal)):
        if counts[request_id] > REPEATABLE_REPLICAS:
            yield f"{request_id} ran {counts[request_id]} times"


def repeats_within_budget(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """In no window does a service get more repeats than the retry budget of all fronts."""
    seen: set[str] = set()
    firsts: dict[str, list[float]] = defaultdict(list)
    repeats: dict[str, list[float]] = defaultdict(list)
    for arrival in journal.arrivals:
        is_repeat = arrival.request_id in seen
        (repeats if is_repeat else firsts)[arrival.service].append(arrival.at)
        seen.add(arrival.request_id)
    for service, times in repeats.items():
        for end in times:
            repeat_count = _within(times, end, RETRY_BUDGET.window_s)
            first_count = _within(firsts[service], end, RETRY_BUDGET.window_s)
            if repeat_count > RETRY_BUDGET.ratio * first_count + RETRY_BUDGET.slack:
                yield f"{service} got {repeat_count} repeats for {first_count} requests"
                break


def _within(times: list[float], end: float, window_s: float) -> int:
    return sum(end - window_s < at <= end for at in times)


def _repeatable(journal: Journal) -> set[str]:
    return {a.request_id for a in journal.attempts if a.path.startswith(REPEATABLE_PREFIX)}


def stays_home(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """A request whose route is bound to a region is executed only there."""
    homes = {
        attempt.request_id: attempt.path.removeprefix(HOME_PREFIX).split("/")[0]
        for attempt in journal.attempts
        if attempt.path.startswith(HOME_PREFIX)
    }
    for run in journal.runs:
        if run.region != homes.get(run.request_id, run.region):
            yield f"{run.request_id} ran in {run.region}"


def asked_by_a_client(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """Replicas execute only requests that a client has sent."""
    sent = {attempt.request_id for attempt in journal.attempts}
    for run in journal.runs:
        if run.request_id not in sent:
            yield f"{run.request_id} ran, and nobody sent it"


def promises_hold(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """A request that was answered 503 is never executed, neither before nor after."""
    ran = {run.request_id for run in journal.runs}
    for attempt in journal.attempts:
        if attempt.status == 503 and attempt.request_id in ran:
            yield f"{attempt.request_id} was promised not to have run"


def answers_are_whole(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """A success is the complete response of a replica that executed the request."""
    ran_at = defaultdict(set)
    for run in journal.runs:
        ran_at[run.request_id].add(run.replica_id)
    for attempt in journal.attempts:
        if not attempt.served:
            continue
        if attempt.signature not in ran_at[attempt.request_id]:
            yield f"{attempt.request_id} has the signature {attempt.signature!r}"
        expected = f"{attempt.request_id}@{attempt.signature}".encode()
        if attempt.is_stream:
            expected = complete_stream(attempt.request_id)
        if attempt.body != expected:
            yield f"{attempt.request_id} has another body"


def leaving_get_nothing(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """No request starts at a replica more than 4 s after it was listed as leaving."""
    since = {leaving.replica_id: leaving.shown_at for leaving in journal.leaving}
    for run in journal.runs:
        shown_at = since.get(run.replica_id)
        late = shown_at is not None and run.started_at > shown_at + LEAVING_S
        if late and journal.is_fault_free(run.started_at, FAULT_FREE_S):
            yield (
                f"{run.request_id} ran at {run.replica_id}, {run.started_at - shown_at:.1f} s after"
            )


def emptied_get_nothing(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """No request starts in a zone more than 5 s after its drain was acknowledged."""
    for order in journal.orders:
        if order.kind != "empty" or not order.acknowledged_at:
            continue
        until = _restored_at(journal, order)
        for run in journal.runs:
            late = (
                run.zone == order.zone
                and order.acknowledged_at + DRAINED_S < run.started_at < until
            )
            if late and journal.is_fault_free(run.started_at, FAULT_FREE_S):
                yield f"{run.request_id} ran in {run.zone}, emptied"


def _restored_at(journal: Journal, drain: Order) -> float:
    later = [
        order.sent_at
        for order in journal.orders
        if order.kind == "restore" and order.zone == drain.zone
        if order.sent_at > drain.sent_at
    ]
    return min(later, default=float("inf"))


def cold_get_a_trickle(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """In no second does a cold replica get more requests than its rate limit allows."""
    bound = cold_rate_per_s * COLD_OVERSHOOT + COLD_SLACK
    by_replica: dict[str, list[Run]] = defaultdict(list)
    for run in journal.runs:
        if run.cold:
            by_replica[run.replica_id].append(run)
    for replica_id, runs in by_replica.items():
        for first in runs:
            count = sum(first.started_at <= run.started_at < first.started_at + 1.0 for run in runs)
            if count > bound:
                yield f"{replica_id} got {count} requests in a second while cold"
                break


def changes_are_in_force(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """3 s after a change is acknowledged, no front answers 404 on its routes."""
    known_since: dict[str, float] = {}
    for order in sorted(journal.orders, key=lambda order: order.acknowledged_at):
        if order.kind == "change" and order.acknowledged_at:
            for route in json.loads(order.document)["routes"]:
                known_since.setdefault(route["prefix"], order.acknowledged_at)
    for attempt in journal.attempts:
        prefix = "/" + attempt.path.split("/")[1] + "/"
        since = known_since.get(prefix)
        late = since is not None and attempt.sent_at > since + IN_FORCE_S
        if late and attempt.status == 404 and journal.is_fault_free(attempt.sent_at, FAULT_FREE_S):
            yield f"{attempt.request_id} got 404 {attempt.sent_at - since:.1f} s after the change"


def one_change_a_version(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """At most one change per version is acknowledged, and never an invalid one."""
    acknowledged = defaultdict(list)
    for order in journal.orders:
        if order.kind == "change" and order.acknowledged_at:
            acknowledged[order.version].append(order)
            if b"nobody" in order.document:
                yield f"version {order.version} is invalid and was acknowledged"
    for version, orders in acknowledged.items():
        if len({order.document for order in orders}) > 1:
            yield f"two changes were acknowledged as version {version}"


def orders_are_acknowledged(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """While no fault is active, an order is acknowledged or refused within 5 s."""
    for order in journal.orders:
        answered = order.acknowledged_at or (order.sent_at if order.refused else float("inf"))
        end = order.sent_at + ACKNOWLEDGED_WITHIN_S
        calm = journal.is_fault_free(end, ACKNOWLEDGED_WITHIN_S + FAULT_FREE_S)
        if calm and answered > end:
            yield f"{order.kind} {order.version}{order.zone} was not answered within 5 s"


def newest_is_read_back(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """The final read returns the newest acknowledged configuration byte for byte."""
    changes = [order for order in journal.orders if order.kind == "change"]
    newest = max((order.version for order in changes if order.acknowledged_at), default=0)
    if not newest:
        return
    if not journal.read_back:
        yield "nothing could be read back"
        return
    version = json.loads(journal.read_back)["version"]
    sent = [order.document for order in changes if order.version == version]
    if version < newest or journal.read_back not in sent:
        yield f"version {version} was read back, {newest} is acknowledged"


def a_quarter_is_served_again(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """From 12 s after the last fault on, at least a quarter of the requests is served."""
    if not journal.disturbances:
        return
    since = max(disturbance.ended_at for disturbance in journal.disturbances) + RECOVERY_S
    later = [attempt for attempt in journal.attempts if attempt.sent_at > since]
    if later and sum(attempt.served for attempt in later) < MIN_SERVED_SHARE * len(later):
        yield "less than a quarter is served again"


ORACLES: dict[str, Oracle] = {
    oracle.__name__: oracle
    for oracle in (
        runs_once,
        repeats_within_limits,
        repeats_within_budget,
        stays_home,
        asked_by_a_client,
        promises_hold,
        answers_are_whole,
        leaving_get_nothing,
        emptied_get_nothing,
        cold_get_a_trickle,
        changes_are_in_force,
        one_change_a_version,
        orders_are_acknowledged,
        newest_is_read_back,
        fronts_keep_up,
        a_quarter_is_served_again,
    )
}


def judge(journal: Journal, cold_rate_per_s: float) -> dict[str, list[str]]:
    """Run all oracles and return the violations by oracle name, without oracles that hold."""
    found = {name: list(oracle(journal, cold_rate_per_s)) for name, oracle in ORACLES.items()}
    return {name: broken for name, broken in found.items() if broken}
