"""Collects the claims of all fronts, when two or more stores have lost theirs.

This is beyond what must be survived (one lost disk), so it is done as well as possible: every
live front announces the claims that it requested, and the owner waits a while before it decides,
for requests that a lost front may still have written.
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
    """One shard's inquiry."""

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
        """Forget everything, also answers that are still to come."""
        self._generation += 1
        self._answers = {}
        self._any_front_had_claims = False

    def begin(self, now: float, *, no_store_intact: bool) -> None:
        """Start the wait."""
        self.reset()
        self._began = now
        self._no_store_intact = no_store_intact

    def request_claims(self, not_after: float) -> list[fx.Effect]:
        """Request the claims of every listed front that has not answered."""
        return [
            self._request_claims_from(node, not_after)
            for node in self._fronts()
            if (node.node_id, node.incarnation) not in self._answers
        ]

    def is_complete(self, now: float) -> bool:
        """Return whether every listed front has answered and the wait is over.

        There is no wait at a first start: no store has a claim, and no front has ever had
        one. A loss of everything looks the same, but then the configuration is lost with
        the claims, and no front is ready until the operators have submitted it again.
        """
        fronts = self._fronts()
        identities = [(node.node_id, node.incarnation) for node in fronts]
        if not fronts or any(identity not in self._answers for identity in identities):
            return False
        first_start = self._no_store_intact and not self._any_front_had_claims
        return first_start or now >= self._began + RECOVERY_WAIT_S

    def claims(self) -> list[ClaimRecord]:
        """Return what the fronts announced."""
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
