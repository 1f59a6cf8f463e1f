"""Decides where a once-only request is served, and to which replica it is written."""

from random import Random

import attrs
import xxhash

from rooklug.config.document import Configuration
from rooklug.front.once_only.attempt import Attempt
from rooklug.front.once_only.limits import (
    MAX_ACTIVE_ATTEMPTS,
    MAX_BACKEND_ATTEMPTS,
    MIN_WRITE_TIME_S,
    REPLICA_AVOIDANCE_S,
    RETRY_AFTER_S,
)
from rooklug.front.once_only.requests import OnceHead
from rooklug.front.routing_view import FrontNode, RoutingView
from rooklug.front.verdicts import HeadVerdict, ReadBody, RedirectTo, Refuse
from rooklug.wire.generated.control.ttypes import ListedReplica


@attrs.frozen
class WriteTo:
    """Write to this replica; the write must be sent before the caller's deadline."""

    replica: ListedReplica


class OnceDecision:
    """Decides on each request: from its headers, and again when its claim is granted.

    ``OnceOnlyComponent`` sets ``view`` at each change and ``draining`` when the drain starts.
    """

    def __init__(self, own_node_id: str, random: Random) -> None:
        self._view: RoutingView | None = None
        self.draining = False
        self._own_node_id = own_node_id
        self._random = random
        self._avoided_until: dict[str, float] = {}

    @property
    def view(self) -> RoutingView:
        """The newest view.

        Raises:
            ValueError: No view has been set yet.
        """
        if self._view is None:
            raise ValueError("no routing view has been received yet")
        return self._view

    @view.setter
    def view(self, view: RoutingView) -> None:
        self._view = view

    @property
    def has_configuration(self) -> bool:
        """Whether a view with a configuration has arrived; before that no route is known."""
        return self._view is not None and self._view.configuration is not None

    def queue_wait_s(self) -> float:
        """Return the configured limit of a request's wait in a queue, in seconds."""
        return self.view.limits.queue_wait_s

    def check_head(self, head: OnceHead, active: int) -> HeadVerdict:
        """Decide from the headers alone; ``active`` is the number of requests in progress here."""
        homes = head.route.home_regions
        fronts = [
            front for front in self.view.fronts_in(homes) if front.node_id != self._own_node_id
        ]
        if not self.view.serves_home(head.route):
            if not fronts:
                return _refusal("no_home", "no front in the route's home regions is ready")
            return RedirectTo(self._random.choice(fronts))
        if fronts and (self.draining or self.view.own_zone_drained):
            return RedirectTo(self._random.choice(fronts))
        if active >= MAX_ACTIVE_ATTEMPTS:
            return _refusal("overloaded", "too many once-only requests wait here")
        return ReadBody()

    def choose_replica(self, attempt: Attempt, now: float) -> WriteTo | Refuse:
        """Decide where an attempt with a granted claim writes, never outside the route's home."""
        if attempt.head.deadline - now < MIN_WRITE_TIME_S:
            return _refusal("deadline", "too late to be written")
        homes = attempt.head.route.home_regions
        candidates = [
            replica
            for replica in self.view.once_replicas(attempt.head.route.backend)
            if replica.replica_id not in attempt.tried_replicas
            and (not homes or self._region_of(replica) in homes)
        ]
        if not candidates or len(attempt.tried_replicas) >= MAX_BACKEND_ATTEMPTS:
            return _refusal("no_replica", "no replica of the back end could be reached")
        best = min(self._rank(replica, now) for replica in candidates)
        equals = [replica for replica in candidates if self._rank(replica, now) == best]
        return WriteTo(equals[attempt.number % len(equals)])

    def replica_failed(self, replica_id: str, now: float) -> None:
        """Rank a replica last for ``REPLICA_AVOIDANCE_S`` after a failed write."""
        self._avoided_until[replica_id] = now + REPLICA_AVOIDANCE_S

    def choose_result_replica(self, head: OnceHead, digest: bytes) -> str:
        """Return the id of the front that is to store a replica of the result.

        The front is in the route's home regions, and in another zone if possible; "" if there is
        no other front.
        """
        fronts = [
            front
            for front in self.view.fronts_in(head.route.home_regions)
            if front.node_id != self._own_node_id
        ]
        elsewhere = [front for front in fronts if front.zone != self.view.own_zone]

        def score(front: FrontNode) -> int:
            return xxhash.xxh64_intdigest(digest + front.node_id.encode())

        best = max(elsewhere or fronts, key=score, default=None)
        return best.node_id if best else ""

    def _configuration(self) -> Configuration:
        configuration = self.view.configuration
        if configuration is None:
            raise ValueError("no configuration has been received yet")
        return configuration

    def _rank(self, replica: ListedReplica, now: float) -> tuple[bool, bool]:
        avoided = self._avoided_until.get(replica.replica_id, 0.0) > now
        return (avoided, self._region_of(replica) != self.view.own_region)

    def _region_of(self, replica: ListedReplica) -> str:
        """Return the configured region of a replica's zone, else the region it is listed with."""
        return self._configuration().region_of_zone(replica.zone) or replica.region


def _refusal(code: str, message: str) -> Refuse:
    return Refuse(code, message, RETRY_AFTER_S)
