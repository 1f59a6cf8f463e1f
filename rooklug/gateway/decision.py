"""Chooses the replica for each request. The decision object sends nothing itself.

A choice has up to two steps. In a large pool, a few candidates are compared first; the cheapest
one that is healthy and within its rate limit is chosen. If there is none, or if the pool is small,
all usable replicas are compared: healthy replicas with spare rate in the preferred region come
first. The plan's matrix determines the preferred region (``region_choice``), the cost model the
replica within it (``replica_cost``).
"""

from collections.abc import Callable
from random import Random

import attrs

from rooklug.gateway.document import Route, Service
from rooklug.gateway.gateway_replica import GatewayReplica
from rooklug.gateway.region_choice import region_order
from rooklug.gateway.replica_cost import CostModel, rank_of
from rooklug.gateway.replica_pool import MAX_CACHE_HOLDERS
from rooklug.gateway.replica_rate_limiter import Allowance
from rooklug.gateway.requests import InboundRequest, PrefixBlock
from rooklug.gateway.traffic_record import TrafficRecord
from rooklug.gateway.view import GatewayView
from rooklug.routing.send_shares import SendShare

RETRY_AFTER_SLOW_START_S = 0.5
RETRY_AFTER_NO_REPLICA_S = 1.0
RETRY_AFTER_STALE_LIST_S = 1.0
"""The primary polls the list of replicas at about this interval."""


@attrs.frozen
class ServeAt:
    """Send the request to this replica."""

    replica: GatewayReplica


@attrs.frozen
class Refuse:
    """Reject the request unexecuted; the client should retry after ``retry_after_s`` seconds."""

    reason: str
    retry_after_s: float


Verdict = ServeAt | Refuse


@attrs.define(eq=False)
class Decision:
    """Chooses service, region and replica from a view and the front's traffic record.

    Attributes:
        region: The front's own region.
        zone: The front's own zone.
        random: Samples candidates and breaks ties.
        traffic: This front's observations of the replicas.
        view: The latest snapshot of configuration, replicas, fronts and plan.
        holds_lease: Whether this front's lease is valid at a monotonic time. The other fronts may
            have divided its share among them as soon as it is not.
    """

    region: str
    zone: str
    random: Random
    traffic: TrafficRecord
    view: GatewayView = attrs.field(factory=GatewayView)
    holds_lease: Callable[[float], bool] = lambda now: True

    def apply_view(self, view: GatewayView) -> None:
        """Replace the snapshot and drop the traffic records of replicas that it doesn't list."""
        self.view = view
        listed = {r.replica_id for replicas in view.replicas.values() for r in replicas}
        self.traffic.forget_unlisted(listed)

    def service_for(self, request: InboundRequest, route: Route) -> Service:
        """Return the service that serves a request: a weighted choice, stable per request id."""
        total = sum(share.weight for share in route.shares)
        remaining = request.draw * total
        chosen = route.shares[-1]
        for share in route.shares:
            remaining -= share.weight
            if remaining < 0 < share.weight:
                chosen = share
                break
        assert self.view.configuration is not None
        return self.view.configuration.services[chosen.service]

    def choose(
        self,
        request: InboundRequest,
        route: Route,
        service: Service,
        tried: frozenset[str],
        now: float,
    ) -> Verdict:
        """Choose a replica, or reject the request; the replica ids in ``tried`` are excluded."""
        order = region_order(self.view, self.region, request, route, service)
        chosen = self._choose_from_candidates(request, route, service, order[0], tried, now)
        if chosen is not None:
            return ServeAt(chosen)
        return self._choose_from_all(request, route, service, order, tried, now)

    def _choose_from_candidates(
        self,
        request: InboundRequest,
        route: Route,
        service: Service,
        region: str,
        tried: frozenset[str],
        now: float,
    ) -> GatewayReplica | None:
        """Choose among a few replicas of a large pool.

        Returns None for a small pool, and if no candidate is healthy and within its rate share.
        """
        if route.home_regions and region not in route.home_regions:
            return None
        pool = self.view.pool(service.name, region)
        if not pool.is_large:
            return None
        block_id = _shared_prefix(request)[-1].block_id if request.prefix_blocks else ""
        owner = pool.ring.owner(block_id)
        holders = self.traffic.prefixes.users(block_id, MAX_CACHE_HOLDERS)
        found = pool.candidates(owner, holders, self.random)
        healthy = [r for r in found if r.replica_id not in tried and self._is_healthy(r, now)]
        allowances = self._allowances(healthy, service, now)
        free = [replica for replica, allowance in allowances if allowance is Allowance.FREE]
        if not free:
            return None
        return self._cheapest(request, route, free, now, owner)

    def _choose_from_all(
        self,
        request: InboundRequest,
        route: Route,
        service: Service,
        order: tuple[str, ...],
        tried: frozenset[str],
        now: float,
    ) -> Verdict:
        """Choose among all usable replicas; unhealthy ones are used if no others are left."""
        stale_endpoints = self.traffic.stale_endpoints
        usable = [
            replica
            for replica in self.view.usable(service.name, route.home_regions)
            if replica.replica_id not in tried
            and not stale_endpoints.is_replaced(replica.replica_id)
        ]
        if not usable:
            return Refuse("no replica", RETRY_AFTER_NO_REPLICA_S)
        confirmed = [r for r in usable if not stale_endpoints.is_suspect(r.replica_id, r.zone)]
        if not confirmed and tried:
            return Refuse("the list is old", RETRY_AFTER_STALE_LIST_S)
        preferred = self._prefer_healthy(confirmed or usable, now)
        allowances = self._allowances(preferred, service, now)
        within_limit = [r for r, allowance in allowances if allowance is not Allowance.NONE]
        if not within_limit:
            return Refuse("replicas are cold or at their pace", RETRY_AFTER_SLOW_START_S)
        free = [replica for replica, allowance in allowances if allowance is Allowance.FREE]
        near = _in_first_region(order, free or within_limit)
        return ServeAt(self._cheapest(request, route, near, now))

    def _prefer_healthy(self, replicas: list[GatewayReplica], now: float) -> list[GatewayReplica]:
        """Return the responsive replicas; if there are none, those not ejected; else all."""
        healthy = [r for r in replicas if not self.traffic.is_ejected(r, now)]
        responsive = [r for r in healthy if not self.traffic.is_unresponsive(r, now)]
        return responsive or healthy or replicas

    def _is_healthy(self, replica: GatewayReplica, now: float) -> bool:
        """Return whether a listed replica is neither stale, ejected nor unresponsive."""
        stale_endpoints = self.traffic.stale_endpoints
        if stale_endpoints.is_replaced(replica.replica_id):
            return False
        if stale_endpoints.is_suspect(replica.replica_id, replica.zone):
            return False
        if self.traffic.is_ejected(replica, now):
            return False
        return not self.traffic.is_unresponsive(replica, now)

    def _cheapest(
        self,
        request: InboundRequest,
        route: Route,
        candidates: list[GatewayReplica],
        now: float,
        owner: str | None = None,
    ) -> GatewayReplica:
        """Return the candidate with the lowest cost.

        ``owner`` is the replica id that every front computes for the prompt's shared prefix; if
        None, the candidate with the highest rank takes that role.
        """
        if not (route.affinity and request.prefix_blocks):
            return self._least_running(candidates, now)
        model = self._cost_model(request, route, candidates, owner)
        costs = [model.cost_of(r, self.traffic.usage_of(r, now), now) for r in candidates]
        return min(costs, key=lambda cost: cost.order).replica

    def _least_running(self, candidates: list[GatewayReplica], now: float) -> GatewayReplica:
        """Return the replica with the fewest running calls; ties prefer this zone, then random."""
        running = {r.replica_id: self.traffic.usage_of(r, now).running for r in candidates}
        return min(
            candidates,
            key=lambda r: (running[r.replica_id], r.zone != self.zone, self.random.random()),
        )

    def _cost_model(
        self,
        request: InboundRequest,
        route: Route,
        candidates: list[GatewayReplica],
        owner: str | None,
    ) -> CostModel:
        shared = _shared_prefix(request)
        blocks = request.prefix_blocks
        ranks = {r.replica_id: rank_of(shared, r.replica_id) for r in candidates}
        return CostModel(
            shared_blocks=shared,
            unique_tokens=blocks[-1].tokens if len(blocks) > 1 else 0,
            latency_objective_s=route.latency_objective_s,
            gap_objective_s=route.gap_objective_s,
            tokens_per_s=self.traffic.prefill_rate.tokens_per_s,
            prefixes=self.traffic.prefixes,
            ranks=ranks,
            owner=owner or max(ranks, key=ranks.__getitem__),
        )

    def _allowances(
        self, replicas: list[GatewayReplica], service: Service, now: float
    ) -> list[tuple[GatewayReplica, Allowance]]:
        """Return each replica with whether its rate limits allow one more request."""
        shares = self.view.send_shares
        front_id = self.traffic.slow_start_limiter.front_id
        by_region = {r.region: shares.share_at(r.region, front_id) for r in replicas}
        return [(r, self._allowance_of(r, service, by_region[r.region], now)) for r in replicas]

    def _allowance_of(
        self, replica: GatewayReplica, service: Service, share: SendShare, now: float
    ) -> Allowance:
        rate_per_s = service.slow_start_rate_per_s
        if replica.is_in_slow_start(now):
            senders = self.view.send_shares.senders(replica.region)
            limiter = self.traffic.slow_start_limiter
            if not limiter.may_send(replica.replica_id, rate_per_s, senders, now):
                return Allowance.NONE
        allowance = self.traffic.rate_limiter.allowance(replica.replica_id, rate_per_s, share, now)
        if allowance is Allowance.SPARE and not self.holds_lease(now):
            return Allowance.NONE
        return allowance


def _shared_prefix(request: InboundRequest) -> tuple[PrefixBlock, ...]:
    """Return the prompt blocks that other prompts may share; a single block counts as shared."""
    return request.prefix_blocks[:-1] or request.prefix_blocks


def _in_first_region(
    order: tuple[str, ...], replicas: list[GatewayReplica]
) -> list[GatewayReplica]:
    """Return the replicas in the first region of ``order`` that has any, else all of them."""
    for region in order:
        near = [replica for replica in replicas if replica.region == region]
        if near:
            return near
    return replicas
