"""Calls of a shard owner to the claim stores, under one fencing token at a time."""

from collections.abc import Callable
from typing import Any

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.front.once_only.claims import decode_claims
from rooklug.front.once_only.limits import STORE_DEADLINE_S
from rooklug.front.once_only.pending_calls import CallEnd, PendingCalls
from rooklug.front.once_only.store_views import StoreView, StoreViews
from rooklug.wire.codec import encode
from rooklug.wire.generated.claims.ttypes import (
    ClaimRecord,
    ReadClaimsRequest,
    RecordClaimsAnswer,
    RecordClaimsRequest,
    RestoreClaimsRequest,
)
from rooklug.wire.generated.control.ttypes import VersionMark

OnAnswer = Callable[[RecordClaimsAnswer | None, float], list[fx.Effect]]
OnStoreAnswered = Callable[[float], list[fx.Effect]]
OnFenced = Callable[[], list[fx.Effect]]
GrantUntil = Callable[[float], float]
MakeClaims = Callable[[], list[bytes]]


class ShardStores:
    """Reads, records to and restores the stores of one shard; ignores answers to earlier tokens.

    ``on_store_answered`` is called after a store has been read or restored, ``on_fenced`` when a
    store has rejected the token because it knows a higher one. Calls are not sent after
    ``not_after``, the end of the owner's grant.
    """

    def __init__(
        self,
        shard: int,
        addresses: tuple[str, ...],
        calls: PendingCalls,
        on_store_answered: OnStoreAnswered,
        on_fenced: OnFenced,
    ) -> None:
        self.views = StoreViews(addresses)
        self._shard = shard
        self._calls = calls
        self._on_store_answered = on_store_answered
        self._on_fenced = on_fenced
        self._token: VersionMark | None = None
        self._open_checks = 0

    def begin_token(self, token: VersionMark) -> None:
        """Use a new token, and discard what is known of the stores."""
        self._token = token
        self.views.reset()

    @property
    def has_quorum(self) -> bool:
        """Whether a majority of the stores is intact, so that claims can be decided."""
        return self.views.intact_count >= self.views.quorum

    def read_unanswered(self, not_after: float) -> list[fx.Effect]:
        """Read every store that has not answered under the present token."""
        return [self._read(view, not_after) for view in self.views if not view.answered]

    def record(self, claim: ClaimRecord, not_after: float, then: OnAnswer) -> list[fx.Effect]:
        """Send a claim to every store; ``then`` is called with each answer, None for a failure."""
        request = RecordClaimsRequest(self._shard, self._token, [encode(claim)])
        return [self._call(view, request, not_after, then) for view in self.views]

    def restore_damaged(self, claims: MakeClaims, not_after: float) -> list[fx.Effect]:
        """Restore every store that is not intact, after a recovery from the fronts' claims."""
        return [self._restore(view, claims(), not_after) for view in self.views if not view.intact]

    def check(self, claims: MakeClaims, grant_until: GrantUntil, now: float) -> list[fx.Effect]:
        """Start a check round: ask every store whether it is intact.

        When the round ends, stores that may be restored by then are restored (see
        ``StoreViews.restorable``).
        """
        self.views.round += 1
        self._open_checks = len(list(self.views))
        return [self._check(view, claims, grant_until, now) for view in self.views]

    def _read(self, view: StoreView, not_after: float) -> fx.Call:
        token = self._token

        def on_end(event: CallEnd, now: float) -> list[fx.Effect]:
            if token != self._token or isinstance(event, ev.CallFailed):
                return []
            if not event.answer.accepted:
                return self._on_fenced()
            if view.answered:
                return []
            view.update(event.answer, self.views.round)
            view.claims = decode_claims(event.answer.claims)
            return self._on_store_answered(now)

        request = ReadClaimsRequest(shard=self._shard, token=token)
        return self._calls.call(view.address, request, STORE_DEADLINE_S, on_end, not_after)

    def _check(
        self, view: StoreView, claims: MakeClaims, grant_until: GrantUntil, now: float
    ) -> fx.Call:
        round_number = self.views.round

        def on_end(answer: RecordClaimsAnswer | None, at: float) -> list[fx.Effect]:
            if round_number != self.views.round:
                return []
            self._open_checks -= 1
            if answer is not None:
                view.checked_in_round = round_number
            until = grant_until(at)
            if self._open_checks or at >= until:
                return []
            return [self._restore(lost, claims(), until) for lost in self.views.restorable()]

        request = RecordClaimsRequest(shard=self._shard, token=self._token, claims=[])
        return self._call(view, request, grant_until(now), on_end)

    def _restore(self, view: StoreView, claims: list[bytes], not_after: float) -> fx.Call:
        request = RestoreClaimsRequest(
            shard=self._shard,
            token=self._token,
            incarnation=view.incarnation,
            claims=claims,
        )
        return self._call(
            view,
            request,
            not_after,
            lambda answer, now: self._on_store_answered(now) if answer else [],
        )

    def _call(self, view: StoreView, request: Any, not_after: float, then: OnAnswer) -> fx.Call:
        token = self._token
        round_number = self.views.round

        def on_end(event: CallEnd, now: float) -> list[fx.Effect]:
            if token != self._token:
                return []
            answer = event.answer if isinstance(event, ev.CallAnswered) else None
            if answer is not None and not answer.accepted:
                return self._on_fenced()
            if answer is not None:
                view.update(answer, round_number)
            return then(answer, now)

        return self._calls.call(view.address, request, STORE_DEADLINE_S, on_end, not_after)
