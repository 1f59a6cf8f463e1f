"""Decides where model requests go, without sending anything itself.

The executor carries out the verdicts and reports the results with ``record_start``,
``record_end`` and ``record_cached_blocks``.
"""

from collections.abc import Iterable
from random import Random

from rooklug.config.document import Route
from rooklug.engine.reducer import MetricSample
from rooklug.front.attempt import AttemptOutcome, AttemptReport
from rooklug.front.balancer import Balancer, NoChoice
from rooklug.front.limits import RetryBudget
from rooklug.front.overload import Overload
from rooklug.front.requests import GenerateBody, RequestHead
from rooklug.front.routing_view import FrontNode, RoutingView, ServingReplica
from rooklug.front.verdicts import (
    HeadVerdict,
    PlacementRequest,
    QueueOutlook,
    ReadBody,
    RedirectTo,
    Refuse,
    ServeAt,
    Verdict,
    Wait,
)
from rooklug.front.view_component import RoutingViewComponent

NO_PLAN_RETRY_AFTER_S = 1
MIN_FIRST_CHUNK_TIMEOUT_S = 2.0
DEFAULT_FIRST_CHUNK_TIMEOUT_S = 5.0
DEFAULT_TIMEOUT_S_PER_PROMPT_TOKEN = 0.001
FIRST_CHUNK_FACTOR = 4.0
FIRST_CHUNK_MARGIN_S = 1.0


class Decision:
    """Decides on each request: from its headers, with its body, and again while it is queued.

    ``draining`` is set by the executor when the process begins to drain; new requests are then
    redirected.
    """

    def __init__(self, view_component: RoutingViewComponent, random: Random) -> None:
        self._view_component = view_component
        self._random = random
        self._balancer = Balancer(random)
        self._budget = RetryBudget()
        self._overload = Overload(random)
        self.draining = False

    def view_changed(self, view: RoutingView, now: float) -> None:
        """Update the balancer's replica states for a new view."""
        self._balancer.apply_view(view, now)

    def check_head(self, head: RequestHead, outlook: QueueOutlook, now: float) -> HeadVerdict:
        """Decide from the headers alone whether to redirect, refuse, or read the body."""
        view = self._view_component.view
        elsewhere = self._leave_home(head.route, now) or self._leave_front(head.route, now)
        if elsewhere is not None:
            return elsewhere
        if not view.has_plan:
            return self._no_plan()
        if not outlook.has_capacity and not self._balancer.has_free_replica(
            head.route, head.source_region, view, now
        ):
            return self.refusal("overloaded", "the queue is full", now)
        return ReadBody()

    def choose(self, request: PlacementRequest, outlook: QueueOutlook, now: float) -> Verdict:
        """Decide where a request goes, by the newest view; its route may have changed meanwhile."""
        view = self._view_component.view
        route = view.route(request.head.route_name)
        if route is None:
            return self.refusal("no_route", "the route was taken away", now)
        elsewhere = self._leave_home(route, now)
        if elsewhere is not None:
            return elsewhere
        if now >= request.head.deadline:
            return self.refusal("deadline", "its time was over before it ran", now)
        if not view.has_plan:
            return self._no_plan()
        choice = self._balancer.choose(request, route, view, now)
        if isinstance(choice, ServeAt):
            return choice
        if choice is NoChoice.NOT_FREE:
            return self._wait_or_refuse(request.head, outlook, now)
        code = "no_replica" if choice is NoChoice.NOT_LOADED else "replica_failed"
        return self.refusal(code, choice.value, now)

    def refusal(self, code: str, message: str, now: float) -> Refuse:
        """Return a refusal with a ``retry_after_s`` by the present overload, and count it."""
        return Refuse(code, message, self._overload.record_refusal(now))

    def queue_capacity(self) -> int:
        """Return how many requests may wait in the queue, by the configuration."""
        return self._view_component.view.limits.queue_length

    def record_first_attempt(self, now: float) -> None:
        """Add the configured share of one request to the retry budget."""
        self._budget.record_first_attempt(self._view_component.view.limits.retry_share)

    def may_retry(self, now: float) -> bool:
        """Spend one retry of the budget; return False if the budget is exhausted."""
        return self._budget.try_spend(now)

    def first_chunk_timeout(self, serve_at: ServeAt, body: GenerateBody, now: float) -> float:
        """Return the seconds that an attempt may take to its first chunk.

        Based on the replica's average wait for prompts of this size, on defaults if unknown.
        """
        state = self._balancer.states[serve_at.replica]
        average = state.limit.average_wait(body.prompt_tokens)
        if average is None:
            return (
                DEFAULT_FIRST_CHUNK_TIMEOUT_S
                + DEFAULT_TIMEOUT_S_PER_PROMPT_TOKEN * body.prompt_tokens
            )
        return max(MIN_FIRST_CHUNK_TIMEOUT_S, FIRST_CHUNK_MARGIN_S + FIRST_CHUNK_FACTOR * average)

    def record_start(self, serve_at: ServeAt, body: GenerateBody, now: float) -> None:
        """Count an attempt that is being sent."""
        self._balancer.record_start(serve_at, body, now)

    def record_end(self, report: AttemptReport, now: float) -> None:
        """Record the end of an attempt; a success also counts as throughput of this front."""
        self._balancer.record_end(report, now)
        if report.outcome is AttemptOutcome.SUCCESS:
            self._overload.record_served(now)

    def record_cached_blocks(
        self, head: RequestHead, body: GenerateBody, replica: ServingReplica
    ) -> None:
        """Record that a replica caches the body's prefix blocks.

        Blocks of a bound route are recorded only at fronts inside its home regions.
        """
        route = self._view_component.view.route(head.route_name)
        if (
            route is None
            or not body.block_hashes
            or not self._view_component.view.serves_home(route)
        ):
            return
        self._balancer.affinity.record(route.home_regions, body.block_hashes, replica)

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Yield gauges of the affinity table, the retry budget and each replica."""
        yield MetricSample(
            "front_affinity_parts", len(self._balancer.affinity), "gauge", "Prompt parts known."
        )
        yield MetricSample(
            "front_retry_budget", self._budget.tokens, "gauge", "Retries that may be spent."
        )
        for replica_id, state in self._balancer.states.items():
            labels = {"replica": replica_id}
            ejected = float(state.health.is_ejected(now))
            yield MetricSample(
                "front_replica_in_flight", state.in_flight, "gauge", "Requests running.", labels
            )
            yield MetricSample(
                "front_replica_limit", state.allowed, "gauge", "Requests allowed at once.", labels
            )
            yield MetricSample(
                "front_replica_ejected", ejected, "gauge", "1: gets no requests now.", labels
            )

    def _no_plan(self) -> Refuse:
        return Refuse("no_plan", "no plan has come yet", NO_PLAN_RETRY_AFTER_S)

    def _wait_or_refuse(self, head: RequestHead, outlook: QueueOutlook, now: float) -> Verdict:
        wait_s = min(self._view_component.view.limits.queue_wait_s, head.deadline - now)
        if not outlook.has_capacity:
            return self.refusal("overloaded", "the queue is full", now)
        if self._overload.expected_wait_s(outlook.ahead, now) > wait_s:
            return self.refusal("overloaded", "the queue is too slow", now)
        return Wait(now + wait_s)

    def _leave_home(self, route: Route, now: float) -> RedirectTo | Refuse | None:
        """Redirect or refuse a route whose home excludes this front; None if it may serve it."""
        if self._view_component.view.serves_home(route):
            return None
        front = self._another_front(route.home_regions)
        if front is not None:
            return RedirectTo(front)
        return self.refusal("no_home", "no front of the route's home is ready", now)

    def _leave_front(self, route: Route, now: float) -> RedirectTo | Refuse | None:
        """Redirect new requests while draining or in a drained zone; None to serve them here.

        In a drained zone, requests are still served if no other front is known.
        """
        view = self._view_component.view
        if not self.draining and not view.own_zone_drained:
            return None
        homes = route.home_regions
        front = self._another_front((view.own_region,)) or self._another_front(homes)
        if front is not None:
            return RedirectTo(front)
        if self.draining:
            return self.refusal("draining", "this front ends and knows no other", now)
        return None

    def _another_front(self, regions: tuple[str, ...]) -> FrontNode | None:
        view = self._view_component.view
        fronts = view.fronts_in(regions)
        others = [front for front in fronts if front.node_id != view.own_node_id]
        return self._random.choice(others) if others else None
