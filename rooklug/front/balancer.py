"""Chooses the replica of a request: first the region by the routing matrix, then slow start,
prefix affinity and load within the region.
"""

from collections import Counter
from enum import Enum
from random import Random

import attrs
from xxhash import xxh3_64_intdigest

from rooklug.config.document import Route
from rooklug.front.affinity import AffinityTable, rendezvous_rank
from rooklug.front.attempt import AttemptOutcome, AttemptReport
from rooklug.front.regions import RegionStep, region_order
from rooklug.front.replica_states import ReplicaStates
from rooklug.front.requests import GenerateBody
from rooklug.front.routing_view import DestinationLevels, RoutingView, ServingReplica
from rooklug.front.slow_start_admission import SlowStartAdmission
from rooklug.front.slow_start_tracker import FULL_SHARE, SlowStartTracker
from rooklug.front.verdicts import PlacementRequest, ServeAt

HASH_RANGE = 2.0**64
LOST_AFTER_EJECTIONS = 2
# How long no requests for a model go to a replica that has refused one as not loaded.
UNLOADED_BACKOFF_S = 1.0
BACKOFF_JITTER = 0.25


class NoChoice(Enum):
    """Why no replica was chosen; the values are messages to the caller."""

    NOT_LOADED = "the model is loaded nowhere it may be served"
    ALL_TRIED = "every replica has been tried"
    NOT_FREE = "no replica is free"


@attrs.frozen
class _Placement:
    """One placement request with its route, view and time, as passed between the steps."""

    request: PlacementRequest
    route: Route
    view: RoutingView
    now: float

    @property
    def load_tokens(self) -> float:
        return self.request.body.load_tokens


class Balancer:
    """Chooses where a request runs, from the view and the results of this front's own attempts.

    The caller must report each attempt with ``record_start`` and ``record_end``.
    """

    def __init__(self, random: Random) -> None:
        self.states = ReplicaStates(random)
        self.slow_starts = SlowStartTracker()
        self.affinity = AffinityTable()
        self._slow_start_admission = SlowStartAdmission(self.slow_starts, self.states, random)
        self._random = random
        self._spilled: Counter[str] = Counter()
        self._unloaded_until: dict[tuple[str, str], float] = {}

    def apply_view(self, view: RoutingView, now: float) -> None:
        """Update all replica states for a new view, and drop expired back-offs."""
        self.states.apply_view(view)
        self.slow_starts.apply_view(view, now)
        self.affinity.apply_view(view)
        self._slow_start_admission.apply_view(view)
        self._unloaded_until = {
            key: until for key, until in self._unloaded_until.items() if until > now
        }

    def choose(
        self, request: PlacementRequest, route: Route, view: RoutingView, now: float
    ) -> ServeAt | NoChoice:
        """Return where the request runs, or why it can't run anywhere now."""
        source = request.head.source_region
        levels = view.destinations(route, source)
        allowed = {cell.region for level in levels for cell in level}
        inside = [entry for entry in view.serving(route.model) if entry.region in allowed]
        if not inside:
            return NoChoice.NOT_LOADED
        untried = [entry for entry in inside if entry.replica_id not in request.tried]
        if not untried:
            return NoChoice.ALL_TRIED
        usable = self._usable(untried, route.model, now)
        regions = self._by_region(usable)
        self._start_first_choice_clocks(levels, regions, route.model, now)
        draw = xxh3_64_intdigest(request.head.request_id.encode()) / HASH_RANGE
        shares = {
            region: self.slow_starts.region_share(inside, route.model, now)
            for region, inside in regions.items()
        }
        steps = region_order(levels, shares, source, draw)
        placement = _Placement(request, route, view, now)
        return self._first_free(placement, steps, regions)

    def has_free_replica(
        self, route: Route, source_region: str, view: RoutingView, now: float
    ) -> bool:
        """Return whether any replica that the route may use accepts another request now."""
        levels = view.destinations(route, source_region)
        allowed = {cell.region for level in levels for cell in level}
        inside = [entry for entry in view.serving(route.model) if entry.region in allowed]
        usable = self._usable(inside, route.model, now)
        return any(self.states[entry].has_capacity for entry in usable)

    def record_start(self, serve_at: ServeAt, body: GenerateBody, now: float) -> None:
        """Count an attempt that is being sent, and charge it to spill and slow-start limits."""
        self.states.record_start(serve_at.replica, body.load_tokens, now)
        if serve_at.spilled:
            self._spilled[serve_at.replica.region] += 1
        if self._is_in_slow_start(serve_at.replica, serve_at.model, now):
            self._slow_start_admission.spend(serve_at.replica, serve_at.model, now)

    def record_end(self, report: AttemptReport, now: float) -> None:
        """Uncount an attempt that has ended, and update its replica's health and slow start."""
        replica = report.serve_at.replica
        if report.serve_at.spilled:
            self._spilled[replica.region] -= 1
        ejected = self.states.record_end(report, now)
        if report.outcome is AttemptOutcome.NOT_LOADED:
            self._record_unloaded(replica.replica_id, report.serve_at.model, now)
        elif ejected and self._is_lost(replica, now):
            self.slow_starts.record_loss(replica.replica_id, now)

    def _record_unloaded(self, replica_id: str, model: str, now: float) -> None:
        """Back off from a model that the replica doesn't have loaded, and restart its slow start.

        The plan has unloaded the model, or the replica has restarted.
        """
        backoff_s = UNLOADED_BACKOFF_S * self._random.uniform(
            1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER
        )
        self._unloaded_until[(replica_id, model)] = now + backoff_s
        self.slow_starts.record_loss(replica_id, now, model)

    def _is_lost(self, replica: ServingReplica, now: float) -> bool:
        """Return whether an ejected replica counts as lost and will return in slow start.

        One ejection is not enough, because connections also fail for a moment. While most
        replicas are ejected, this front itself may be cut off, so none counts as lost.
        """
        ejections = self.states[replica].health.consecutive_ejections
        return ejections >= LOST_AFTER_EJECTIONS and not self.states.most_are_ejected(now)

    def _usable(
        self, replicas: list[ServingReplica], model: str, now: float
    ) -> list[ServingReplica]:
        """Return the replicas without ejected ones and those that refused as not loaded.

        If all are ejected, this front itself may be at fault: then the ejected ones are returned,
        and get one request at a time each because they are on probation.
        """
        loaded = [
            entry
            for entry in replicas
            if self._unloaded_until.get((entry.replica_id, model), now) <= now
        ]
        healthy = [entry for entry in loaded if not self.states[entry].health.is_ejected(now)]
        return healthy or loaded

    def _by_region(self, replicas: list[ServingReplica]) -> dict[str, list[ServingReplica]]:
        regions: dict[str, list[ServingReplica]] = {}
        for entry in replicas:
            regions.setdefault(entry.region, []).append(entry)
        return regions

    def _start_first_choice_clocks(
        self,
        levels: DestinationLevels,
        regions: dict[str, list[ServingReplica]],
        model: str,
        now: float,
    ) -> None:
        """Start the slow-start clocks of the regions with the highest preference.

        This includes regions that this request is not sent to.
        """
        named = ([cell.region for cell in level if cell.region in regions] for level in levels)
        for region in next((names for names in named if names), ()):
            for entry in regions[region]:
                self.slow_starts.start_clock(entry.replica_id, model, now)

    def _first_free(
        self,
        placement: _Placement,
        steps: list[RegionStep],
        regions: dict[str, list[ServingReplica]],
    ) -> ServeAt | NoChoice:
        for step in steps:
            inside = regions[step.region]
            if step.spilled and not self._spill_allowed(placement, inside, step.region):
                continue
            replica = self._choose_in_region(placement, inside)
            if replica is not None:
                until = placement.request.head.deadline
                return ServeAt(replica, placement.route.model, until, step.spilled)
        return NoChoice.NOT_FREE

    def _spill_allowed(
        self, placement: _Placement, inside: list[ServingReplica], region: str
    ) -> bool:
        """Return whether one more request may spill into a region.

        This front's spilled requests there are limited to the region's configured spill share of
        its concurrency, divided evenly among the fronts outside the region, but at least one.
        """
        view = placement.view
        share = view.spill_share(region)
        fronts = len(view.fronts_in()) - len(view.fronts_in((region,)))
        capacity = share * sum(entry.concurrency for entry in inside) / max(1, fronts)
        return share > 0 and self._spilled[region] + 1 <= max(1.0, capacity)

    def _choose_in_region(
        self, placement: _Placement, inside: list[ServingReplica]
    ) -> ServingReplica | None:
        model, now = placement.route.model, placement.now
        for entry in inside:
            self.slow_starts.start_clock(entry.replica_id, model, now)
        slow = [entry for entry in inside if self._is_in_slow_start(entry, model, now)]
        full = [entry for entry in inside if entry not in slow] if slow else inside
        if not full:
            ordered = self._ordered(placement, slow)
            return next(
                (entry for entry in ordered if self._admits_slow_start(placement, entry)), None
            )
        if slow and placement.request.is_first_decision:
            self._slow_start_admission.earn(model, full, slow, now)
            for entry in slow:
                if self._slow_start_admission.has_earned(
                    entry, model, now
                ) and self._admits_slow_start(placement, entry):
                    return entry
        return self._choose_at_full_share(placement, full)

    def _choose_at_full_share(
        self, placement: _Placement, replicas: list[ServingReplica]
    ) -> ServingReplica | None:
        """Return the best free replica whose recent load is within the bounded share.

        The bound is ``affinity_bound`` times the mean load for its concurrency. If all free
        replicas are above it, the one with the least load for its concurrency is returned.
        """
        now, tokens = placement.now, placement.load_tokens
        free = [
            entry for entry in self._ordered(placement, replicas) if self.states[entry].has_capacity
        ]
        if len(free) < 2:
            return free[0] if free else None
        total = sum(self.states[entry].recent_load(now) for entry in replicas) + tokens
        capacity = sum(entry.concurrency for entry in replicas)
        bound = placement.view.limits.affinity_bound * total / capacity
        for entry in free:
            if self.states[entry].recent_load(now) <= bound * entry.concurrency:
                return entry
        return min(free, key=lambda entry: self._relative_load(entry, now))

    def _ordered(
        self, placement: _Placement, replicas: list[ServingReplica]
    ) -> list[ServingReplica]:
        """Return the replicas by prefix affinity, or by load for a request without blocks."""
        if len(replicas) < 2:
            return replicas
        hashes = placement.request.body.block_hashes
        if hashes:
            return self.affinity.rank(placement.route.home_regions, hashes, replicas)
        seed = xxh3_64_intdigest(placement.request.head.request_id.encode())
        return sorted(
            replicas,
            key=lambda entry: (
                self.states[entry].in_flight / self.states[entry].allowed,
                self._relative_load(entry, placement.now),
                rendezvous_rank(seed, entry.replica_id),
            ),
        )

    def _relative_load(self, replica: ServingReplica, now: float) -> float:
        return self.states[replica].recent_load(now) / replica.concurrency

    def _is_in_slow_start(self, replica: ServingReplica, model: str, now: float) -> bool:
        return self.slow_starts.replica_share(replica.replica_id, model, now) < FULL_SHARE

    def _admits_slow_start(self, placement: _Placement, replica: ServingReplica) -> bool:
        model, now = placement.route.model, placement.now
        free = self.states[replica].has_capacity
        return free and self._slow_start_admission.has_capacity_token(
            replica, model, placement.view, now
        )
