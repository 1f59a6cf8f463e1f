"""Mutations that each disable one guard of once-only requests; the oracle must detect each."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from unittest.mock import PropertyMock, patch

from rooklug.engine import events as ev
from rooklug.front.once_only import backend, claim_store, once_only_component, store_state
from rooklug.front.once_only.attempt import Attempt
from rooklug.front.once_only.attempt_table import AttemptTable
from rooklug.front.once_only.claim_requester import ClaimRequester
from rooklug.front.once_only.shard_owner import Phase, ShardOwner
from rooklug.front.once_only.store_state import StoredShard
from rooklug.front.once_only.store_views import StoreViews
from rooklug.wire.generated.claims.ttypes import ClaimAnswer, ClaimStatusAnswer

Mutation = Callable[[], AbstractContextManager]


@contextmanager
def _with_shards(shard_type: type) -> Iterator[None]:
    with (
        patch.object(store_state, "StoredShard", shard_type),
        patch.object(claim_store, "StoredShard", shard_type),
    ):
        yield


def without_fence() -> AbstractContextManager:
    """Stores accept an owner whose successor has already read them."""

    class Unfenced(StoredShard):
        fence = property(lambda self: (0, 0), lambda self, value: None)

    return _with_shards(Unfenced)


def with_fence_in_memory_only() -> AbstractContextManager:
    """Stores lose the fence when they restart."""

    def load_without_fence(number, records):
        shard = store_state.load_shard(number, records)
        shard.fence = (0, 0)
        return shard

    return patch.object(claim_store, "load_shard", load_without_fence)


def with_quorum_of_one() -> AbstractContextManager:
    """One store is a quorum for reading and for recording."""
    begin = StoreViews.__init__

    def small(self, addresses) -> None:
        begin(self, addresses)
        self.quorum = 1

    return patch.object(StoreViews, "__init__", small)


def with_damaged_stores_trusted() -> AbstractContextManager:
    """A store that has lost its disk still reports itself as intact."""

    class Trusting(StoredShard):
        intact = property(lambda self: True, lambda self, value: None)

    return _with_shards(Trusting)


def without_reading() -> AbstractContextManager:
    """A new owner decides before it has read the stores."""
    begin = ShardOwner._begin_term

    def begin_ready(self, token):
        effects = begin(self, token)
        self.phase = Phase.READY
        return effects

    return patch.object(ShardOwner, "_begin_term", begin_ready)


def with_grant_before_record() -> AbstractContextManager:
    """An owner grants a claim before any store has it."""
    record = ShardOwner._record

    def record_later(self, call_id, requested, now):
        effects = record(self, call_id, requested, now)
        recording = self._recordings.pop(requested.key_digest)
        return [*self._grant(recording, now), *effects]

    return patch.object(ShardOwner, "_record", record_later)


def with_second_write() -> AbstractContextManager:
    """A write that failed after it may have been sent is sent again."""
    ended = once_only_component.OnceOnlyComponent._on_backend_finished

    def again(self, event, now):
        if isinstance(event, ev.HttpFailed):
            event = ev.HttpFailed(event.call_id, event.reason, ev.SendState.NOT_SENT)
        return ended(self, event, now)

    return patch.object(once_only_component.OnceOnlyComponent, "_on_backend_finished", again)


def with_release_while_writing() -> AbstractContextManager:
    """A front reports a running attempt as released."""
    status = AttemptTable.status

    def released(self, claim, digest):
        answer = status(self, claim, digest)
        if answer.state == "running":
            return ClaimStatusAnswer(state="released", result=b"")
        return answer

    return patch.object(AttemptTable, "status", released)


def with_lost_front_released() -> AbstractContextManager:
    """An attempt of a front that is gone counts as released."""

    def released(self, attempt, now, competitor_is_gone):
        answer = ClaimStatusAnswer(state="released", result=b"")
        return self._competitor_answered(attempt, answer, now)

    return patch.object(ClaimRequester, "_request_replica_status", released)


def with_not_run_while_unknown() -> AbstractContextManager:
    """ "Not run" is answered although no owner has confirmed that the key was not written."""
    always = PropertyMock(return_value=True)
    return patch.object(Attempt, "certainly_not_run", always)


def with_not_run_after_writing() -> AbstractContextManager:
    """ "Not run" is answered when the deadline passes during the write."""

    def refuse(self, attempt, refusal):
        return self._respond_failure(attempt, refusal, not_run=True)

    return patch.object(once_only_component.OnceOnlyComponent, "_respond_unknown", refuse)


def with_any_answer_accepted() -> AbstractContextManager:
    """The back end's answer is not matched with the request."""

    def unmatched(attempt, status, body):
        return backend.json.dumps(backend.json.loads(body).get("result", {})).encode()

    return patch.object(once_only_component, "result_of", unmatched)


def with_claimed_keys_granted() -> AbstractContextManager:
    """An owner grants a key that another attempt has claimed."""
    claim = ShardOwner.claim

    def grant(self, call_id, request, now):
        effects = claim(self, call_id, request, now)
        for effect in effects:
            answer = getattr(effect, "answer", None)
            if isinstance(answer, ClaimAnswer) and answer.outcome == "held":
                answer.outcome = "run"
        return effects

    return patch.object(ShardOwner, "claim", grant)
