"""The claim store of a core: stores on disk which keys have been claimed.

A claim is valid once two of the three stores have synced it to disk. Each store keeps the highest
fencing token that it has seen, on disk as well, and rejects owners with a lower one. Once an
owner's successor has read two stores, the owner can't get a claim confirmed by two stores any
more.

A store that has lost its disk is not *intact*: it confirms no claims, and what it holds does not
count as complete, until an owner that knows all claims has restored it.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, Component
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.front.once_only.claims import decode_claims
from rooklug.front.once_only.store_state import (
    StoredShard,
    claim_entry,
    fence_entry,
    intact_entry,
    load_shard,
)
from rooklug.model.topics import CLAIM_SHARDS
from rooklug.model.versions import version_key
from rooklug.wire.codec import encode
from rooklug.wire.generated.claims.ttypes import (
    ReadClaimsAnswer,
    ReadClaimsRequest,
    RecordClaimsAnswer,
    RecordClaimsRequest,
    RestoreClaimsRequest,
    StoredEntry,
)

_FILE_PREFIX = "claims-"
_REWRITE_AFTER_ENTRIES = 4_000

MakeAnswer = Callable[[], ReadClaimsAnswer | RecordClaimsAnswer]


def claims_file(shard: int) -> str:
    """Return the name of a shard's file; one file for each shard keeps rewrites short."""
    return f"{_FILE_PREFIX}{shard}"


@attrs.frozen
class _Pending:
    """A call to be answered once its entries are synced to disk."""

    call_id: int
    make_answer: MakeAnswer


class ClaimStore(BaseComponent):
    """One of the three claim stores of a site, with one file for each claim shard."""

    name = "claim-store"
    call_types = (ReadClaimsRequest, RecordClaimsRequest, RestoreClaimsRequest)

    def __init__(self, context: ProcessContext) -> None:
        self._context = context
        self._shards: dict[int, StoredShard] = defaultdict(StoredShard)
        self._pending: dict[int, _Pending] = {}
        self._failed = False
        self._entries_in_file: Counter[int] = Counter()
        self._confirmed = 0

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Load the files at start, handle calls, and answer them when their writes end."""
        if isinstance(event, ev.Started):
            return self._on_started(event)
        if isinstance(event, ev.CallArrived):
            return self._on_call(event)
        if isinstance(event, ev.WriteFinished):
            pending = self._pending.pop(event.ticket, None)
            return [fx.Answer(pending.call_id, pending.make_answer())] if pending else []
        if isinstance(event, ev.WriteFailed):
            return self._on_write_failed(event)
        return []

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the number of claims that this store has confirmed."""
        help_text = "Claims of once-only requests confirmed by this store."
        return (MetricSample("rooklug_claims_stored_total", self._confirmed, "counter", help_text),)

    def _on_started(self, event: ev.Started) -> list[fx.Effect]:
        effects: list[fx.Effect] = []
        for shard in range(CLAIM_SHARDS):
            records = event.records.get(claims_file(shard), ())
            loaded = None if event.disk_problem else load_shard(shard, records)
            if loaded is not None:
                self._shards[shard] = loaded
                self._entries_in_file[shard] = len(records)
            elif records:
                reason = event.disk_problem or "an entry can't be read"
                effects.append(
                    fx.Log(
                        "error",
                        "claim file unusable; shard emptied and not intact",
                        {"reason": reason},
                    )
                )
                effects.append(self._rewrite(shard, []))
        return effects

    def _on_call(self, event: ev.CallArrived) -> list[fx.Effect]:
        request = event.request
        if version_key(request.token) < self._shards[request.shard].fence or self._failed:
            return [fx.Answer(event.call_id, self._refusal(request))]
        if isinstance(request, ReadClaimsRequest):
            return self._write(event.call_id, [], request, lambda: self._read_answer(request))
        if isinstance(request, RestoreClaimsRequest):
            return self._restore(event.call_id, request)
        return self._record(event.call_id, request)

    def _record(self, call_id: int, request: RecordClaimsRequest) -> list[fx.Effect]:
        shard = self._shards[request.shard]
        if not shard.intact or not _all_readable(request.claims):
            return [fx.Answer(call_id, self._record_answer(request, recorded=False))]
        if not request.claims and version_key(request.token) == shard.fence:
            return [fx.Answer(call_id, self._record_answer(request, recorded=True))]
        self._confirmed += len(request.claims)
        entries = [claim_entry(request.shard, claim) for claim in request.claims]
        return self._write(
            call_id, entries, request, lambda: self._record_answer(request, recorded=True)
        )

    def _restore(self, call_id: int, request: RestoreClaimsRequest) -> list[fx.Effect]:
        incarnation_matches = request.incarnation == self._context.incarnation
        if not incarnation_matches or not _all_readable(request.claims):
            return [fx.Answer(call_id, self._record_answer(request, recorded=False))]
        entries = [claim_entry(request.shard, claim) for claim in request.claims]
        entries.append(intact_entry(request.shard))
        return self._write(
            call_id, entries, request, lambda: self._record_answer(request, recorded=True)
        )

    def _write(
        self,
        call_id: int,
        entries: list[StoredEntry],
        request: ReadClaimsRequest | RecordClaimsRequest | RestoreClaimsRequest,
        make_answer: MakeAnswer,
    ) -> list[fx.Effect]:
        """Apply the fence and the entries in memory at once, and answer when they are synced.

        A claim that an owner reads before it is synced can only keep the owner from granting the
        key again, which is safe.
        """
        shard = request.shard
        written = [fence_entry(shard, request.token), *entries]
        for entry in written:
            self._shards[shard].apply(entry)
        ticket = self._context.identifiers.next()
        self._pending[ticket] = _Pending(call_id, make_answer)
        self._entries_in_file[shard] += len(written)
        records = tuple(encode(entry) for entry in written)
        write = fx.WriteRecords(ticket, claims_file(shard), records)
        return [write, *self._rewrite_if_long(shard)]

    def _rewrite_if_long(self, shard: int) -> list[fx.Effect]:
        recorded = len(self._shards[shard].claims)
        if self._entries_in_file[shard] < max(_REWRITE_AFTER_ENTRIES, 3 * recorded):
            return []
        entries = self._shards[shard].entries(shard)
        self._entries_in_file[shard] = len(entries)
        return [self._rewrite(shard, entries)]

    def _rewrite(self, shard: int, entries: list[bytes]) -> fx.RewriteFile:
        ticket = self._context.identifiers.next()
        return fx.RewriteFile(ticket, claims_file(shard), tuple(entries))

    def _on_write_failed(self, event: ev.WriteFailed) -> list[fx.Effect]:
        """Confirm nothing and report as not intact from now on: memory may be ahead of the disk."""
        self._failed = True
        pending, self._pending = list(self._pending.values()), {}
        answers = [fx.Answer(entry.call_id, self._failure(entry)) for entry in pending]
        return [
            fx.Log(
                "error",
                "claim write failed; store not intact until restart",
                {"reason": event.reason},
            ),
            *answers,
        ]

    def _failure(self, pending: _Pending) -> ReadClaimsAnswer | RecordClaimsAnswer:
        if isinstance(pending.make_answer(), ReadClaimsAnswer):
            return self._not_intact_read()
        return RecordClaimsAnswer(
            accepted=True,
            recorded=False,
            intact=False,
            incarnation=self._context.incarnation,
        )

    def _not_intact_read(self) -> ReadClaimsAnswer:
        return ReadClaimsAnswer(
            accepted=True, intact=False, incarnation=self._context.incarnation, claims=[]
        )

    def _refusal(self, request: object) -> ReadClaimsAnswer | RecordClaimsAnswer:
        accepted = self._failed
        incarnation = self._context.incarnation
        if isinstance(request, ReadClaimsRequest):
            return ReadClaimsAnswer(
                accepted=accepted, intact=False, incarnation=incarnation, claims=[]
            )
        return RecordClaimsAnswer(
            accepted=accepted, recorded=False, intact=False, incarnation=incarnation
        )

    def _read_answer(self, request: ReadClaimsRequest) -> ReadClaimsAnswer:
        shard = self._shards[request.shard]
        accepted = version_key(request.token) >= shard.fence
        claims = list(shard.claims.values())
        return ReadClaimsAnswer(accepted, shard.intact, self._context.incarnation, claims)

    def _record_answer(
        self, request: RecordClaimsRequest | RestoreClaimsRequest, *, recorded: bool
    ) -> RecordClaimsAnswer:
        shard = self._shards[request.shard]
        accepted = version_key(request.token) >= shard.fence
        recorded = recorded and accepted
        return RecordClaimsAnswer(accepted, recorded, shard.intact, self._context.incarnation)


def _all_readable(claims: list[bytes]) -> bool:
    return len(decode_claims(claims)) == len(claims)


def build_claim_store_components(context: ProcessContext) -> list[Component]:
    """Return the components with which a core stores claims of once-only requests."""
    return [ClaimStore(context)]
