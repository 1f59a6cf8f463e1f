"""Mutations that disable one guard each, to show that the oracles detect its absence.

Each mutation disables one guard of a daemon (or of the stand-in replica) while its context
manager is active. It names the scenario to run and the promise that the oracles must then
report as broken.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

import attrs

from rooklug.core.replicator import Replicator
from rooklug.distribution.core_link import CoreLink
from rooklug.distribution.subscribed_topics import SubscribedTopics
from rooklug.engine.events import SendState
from rooklug.front import slow_start_tracker
from rooklug.front.once_only import answers, once_only_component
from rooklug.front.routing_view import RoutingView
from rooklug.front.streams import StreamChecker
from rooklug.wire.generated.control.ttypes import VersionMark, ZonesBody
from rooklug_lab.standins.loaded_models import LoadedModels


@attrs.frozen
class Mutation:
    """A guard that can be disabled, and the scenario and promise that must then fail."""

    name: str
    scenario: str
    deployment: str
    promise: str
    switch_off: Callable[[], Any]


@contextmanager
def _acknowledge_before_replication() -> Iterator[None]:
    """The primary acknowledges records before any other core has them."""
    with mock.patch.object(
        Replicator, "acknowledged_by_all", lambda self: self._store.last.sequence
    ):
        yield


@contextmanager
def _take_any_version() -> Iterator[None]:
    """Nodes accept older versions: every fourth configuration is one that is two updates old."""
    store = SubscribedTopics._store
    earlier: dict[int, list] = {}

    def store_older_body(self: SubscribedTopics, topic: str, version: VersionMark, body: Any):
        bodies = earlier.setdefault(id(self), [])
        if topic != "configuration":
            return store(self, topic, version, body)
        bodies.append(body)
        return store(self, topic, version, bodies[-3] if len(bodies) % 4 == 0 else body)

    with mock.patch.object(SubscribedTopics, "_store", store_older_body):
        yield


@contextmanager
def _ignore_configuration() -> Iterator[None]:
    """About one node in three never accepts a newer configuration."""
    store = SubscribedTopics._store

    def store_filtered(self: SubscribedTopics, topic: str, version: VersionMark, body: Any):
        if topic == "configuration" and self.body(topic) is not None and id(self) // 16 % 3 == 0:
            return None
        return store(self, topic, version, body)

    with mock.patch.object(SubscribedTopics, "_store", store_filtered):
        yield


@contextmanager
def _ignore_zones() -> Iterator[None]:
    """No node learns that a zone was drained."""
    store = SubscribedTopics._store

    def store_filtered(self: SubscribedTopics, topic: str, version: VersionMark, body: Any):
        return store(self, topic, version, ZonesBody([]) if topic == "zones" else body)

    with mock.patch.object(SubscribedTopics, "_store", store_filtered):
        yield


@contextmanager
def _ignore_leaving() -> Iterator[None]:
    """No node learns that a replica is leaving."""
    store = SubscribedTopics._store

    def store_filtered(self: SubscribedTopics, topic: str, version: VersionMark, body: Any):
        if topic == "replicas":
            for replica in body.replicas:
                replica.leaving = False
        return store(self, topic, version, body)

    with mock.patch.object(SubscribedTopics, "_store", store_filtered):
        yield


@contextmanager
def _no_slow_start() -> Iterator[None]:
    """Replicas and regions get their full share of traffic as soon as they return."""
    full_share = lambda *_: 1.0  # noqa: E731
    with (
        mock.patch.object(slow_start_tracker.SlowStartTracker, "replica_share", full_share),
        mock.patch.object(slow_start_tracker.SlowStartTracker, "capacity_share", full_share),
        mock.patch.object(slow_start_tracker.SlowStartTracker, "region_share", full_share),
        mock.patch.object(slow_start_tracker.SlowStartTracker, "slow_start_since", lambda *_: None),
    ):
        yield


@contextmanager
def _forget_homes() -> Iterator[None]:
    """Fronts ignore the home regions of routes."""
    route = RoutingView.route

    def route_without_homes(self: RoutingView, name: str):
        found = route(self, name)
        return attrs.evolve(found, home_regions=()) if found else None

    with mock.patch.object(RoutingView, "route", route_without_homes):
        yield


@contextmanager
def _trust_streams() -> Iterator[None]:
    """Fronts forward stream lines even if the check of their ids and indices fails."""
    check = StreamChecker._check

    def check_ignoring_faults(self: StreamChecker, line: bytes, texts: list[str]) -> str:
        fault = check(self, line, texts)
        if not fault:
            return ""
        if b'"end"' in line:
            self._end_line = line + b"\n"
        return ""

    with mock.patch.object(StreamChecker, "_check", check_ignoring_faults):
        yield


@contextmanager
def _write_again_after_any_failure() -> Iterator[None]:
    """A once-only request is sent again after any failure, even if it may have run."""
    on_backend_finished = once_only_component.OnceOnlyComponent._on_backend_finished

    def handle_as_not_sent(self, event, now):
        if hasattr(event, "send_state"):
            event = attrs.evolve(event, send_state=SendState.NOT_SENT)
        return on_backend_finished(self, event, now)

    with mock.patch.object(
        once_only_component.OnceOnlyComponent, "_on_backend_finished", handle_as_not_sent
    ):
        yield


@contextmanager
def _say_not_run_when_unknown() -> Iterator[None]:
    """A once-only request whose outcome is unknown is answered "not run"."""

    failure_answer = answers.failure_answer

    def always_not_run(http_id, head, why, *, not_run):
        return failure_answer(http_id, head, why, not_run=True)

    with mock.patch.object(answers, "failure_answer", always_not_run):
        yield


@contextmanager
def _orders_without_fencing() -> Iterator[None]:
    """Controllers act on expired grants, and replicas accept any fencing token."""
    grant = CoreLink.grant
    last_grants: dict[tuple[int, str], Any] = {}

    def grant_without_expiry(self: CoreLink, role_key: str, now: float):
        current = grant(self, role_key, now)
        if current is not None:
            last_grants[(id(self), role_key)] = current
        return current or last_grants.get((id(self), role_key))

    with (
        mock.patch.object(CoreLink, "grant", grant_without_expiry),
        mock.patch.object(CoreLink, "grant_until", lambda self, role_key, now: now + 3.0),
        mock.patch.object(LoadedModels, "admit_token", lambda *_: True),
    ):
        yield


MUTATIONS = {
    mutation.name: mutation
    for mutation in (
        Mutation(
            "acknowledge-before-replication",
            "isolate-primary",
            "payroll",
            "read_back_is_newest",
            _acknowledge_before_replication,
        ),
        Mutation("take-any-version", "no-fault", "payroll", "never_slides_back", _take_any_version),
        Mutation(
            "ignore-configuration", "no-fault", "payroll", "in_force_soon", _ignore_configuration
        ),
        Mutation(
            "ignore-zones", "zone-emptied", "quiz", "emptied_zone_gets_nothing", _ignore_zones
        ),
        Mutation(
            "ignore-leaving", "replica-leaves", "quiz", "leaving_gets_nothing", _ignore_leaving
        ),
        Mutation("no-slow-start", "kill-zone", "quiz", "cold_gets_a_trickle", _no_slow_start),
        Mutation("forget-homes", "kill-zone+burst", "quiz", "stays_home", _forget_homes),
        Mutation("trust-streams", "bad-streams", "quiz", "answers_are_whole", _trust_streams),
        Mutation(
            "write-again",
            "bad-backend",
            "payroll",
            "runs_at_most_once",
            _write_again_after_any_failure,
        ),
        Mutation(
            "say-not-run",
            "bad-backend",
            "payroll",
            "not_run_never_runs",
            _say_not_run_when_unknown,
        ),
        Mutation(
            "no-fencing",
            "freeze-controllers+kill-replica",
            "quiz",
            "old_orders_are_fenced",
            _orders_without_fencing,
        ),
    )
}
