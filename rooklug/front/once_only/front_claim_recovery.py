"""Collects the claims of all fronts after two or more stores have lost theirs.

The design guarantees survival of one lost disk only, so this is best effort: every live front
reports the claims that it knows, and the owner waits ``RECOVERY_WAIT_S`` before it decides, because
a front that is lost may still have writes in flight.
"""

from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.front.once_only.claims import decode_claims
from rooklug.front.once_only.limits import RECOVERY_WAIT_S, STORE_DEADLINE_S
from rooklug.front.once_only.pending_calls import CallEnd, PendingCalls
from rooklug.front.routing_view import FRONT_ROLE
from rooklug.wire.generated.claims.ttypes import ClaimRecord, ReadFrontClaimsRequest
from rooklug.wire.generated.control.ttypes import NodeRecord


class FrontClaimCollector:
    """Collects the claims of one shard from all fronts; one collection at a time."""

    def __init__(self, shard: int, core_link: CoreLink, calls: PendingCalls) -> None:
        self._shard = shard
        self._core_link = core_link
        self._calls = calls
        self._generation = 0
        self._began = 0.0
        self._no_store_intact = False
        self._answers: dict[tuple[str, str], list[ClaimRecord]] = {}
        self._any_front_had_claims = False

    def reset(self) -> None:
        """Discard all answers, including those to requests that are still in flight."""
        self._generation += 1
        self._answers = {}
        self._any_front_had_claims = False

    def begin(self, now: float, *, no_store_intact: bool) -> None:
        """Start a new collection and its wait.

        ``no_store_intact``: no store is intact, as at the first start of a site.
        """
        self.reset()
        self._began = now
        self._no_store_intact = no_store_intact

    def request_claims(self, not_after: float) -> list[fx.Effect]:
        """Request the claims of every listed front that has not answered yet."""
        return [
            self._request_claims_from(node, not_after)
            for node in self._fronts()
            if (node.node_id, node.incarnation) not in self._answers
        ]

    def is_complete(self, now: float) -> bool:
        """Return whether every listed front has answered and the wait is over.

        There is no wait at a first start, when no store is intact and no front has ever had a
        claim. The loss of all data looks the same, but then the configuration is lost as well,
        and no front is ready until the operators have submitted it again.
        """
        fronts = self._fronts()
        identities = [(node.node_id, node.incarnation) for node in fronts]
        if not fronts or any(identity not in self._answers for identity in identities):
            return False
        first_start = self._no_store_intact and not self._any_front_had_claims
        return first_start or now >= self._began + RECOVERY_WAIT_S

    def claims(self) -> list[ClaimRecord]:
        """Return all claims that the fronts have reported."""
        return [claim for claims in self._answers.values() for claim in claims]

    def _fronts(self) -> list[NodeRecord]:
        return [node for node in self._core_link.members() if node.role == FRONT_ROLE]

    def _request_claims_from(self, node: NodeRecord, not_after: float) -> fx.Call:
        generation = self._generation

        def on_end(event: CallEnd, at: float) -> list[fx.Effect]:
            if generation == self._generation and isinstance(event, ev.CallAnswered):
                claims = decode_claims(event.answer.claims)
                self._answers[(node.node_id, event.answer.incarnation)] = claims
                self._any_front_had_claims |= event.answer.had_claims
            return []

        request = ReadFrontClaimsRequest(shard=self._shard)
        return self._calls.call(node.internal_address, request, STORE_DEADLINE_S, on_end, not_after)
