"""Processes operators' changes at the primary and answers each once its outcome is certain.

A change that is appended and may still commit is never answered as rejected: if the primary
steps down before the commit, the outcome is ``UNKNOWN``. ``UNAVAILABLE`` means that this request
certainly has no effect, so that the operator may safely send it again.
"""

import hashlib
from collections import deque
from enum import Enum

import attrs

from rooklug.core.change_history import ChangeHistory, Classification, Verdict
from rooklug.core.constants import MAX_NAME_LENGTH, MAX_WAITING_CHANGES, QUORUM_WAIT_S
from rooklug.core.documents import CheckOutcome, CheckTask, DocumentChecker
from rooklug.core.outbox import Outbox
from rooklug.core.primary import Primary
from rooklug.core.store import ReplicaStore
from rooklug.engine import effects as fx
from rooklug.model.constants import MAX_SAFE_INTEGER
from rooklug.model.versions import is_newer
from rooklug.wire.generated.control.ttypes import (
    SetZoneAnswer,
    SetZoneRequest,
    SubmitChangeAnswer,
    SubmitChangeRequest,
)
from rooklug.wire.generated.core.ttypes import ConfigurationChange, LogEntry, ZoneChange


class Outcome(Enum):
    """The outcome of a request; the values are sent in the answer."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_PRIMARY = "not_primary"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@attrs.define(eq=False)
class Submission:
    """One operator's request that is not answered yet.

    Attributes
    ----------
    arrived_at
        Monotonic time of arrival, in seconds.
    checked, document
        Whether the document check is complete, and the document that is to be committed.
    sequence
        The log entry that must be committed before ``outcome`` may be answered.
    repeated
        Whether an earlier request with the same identity appended that entry.
    """

    call_id: int
    request: SubmitChangeRequest | SetZoneRequest
    arrived_at: float
    checked: bool = False
    document: bytes = b""
    sequence: int = 0
    outcome: Outcome = Outcome.ACCEPTED
    repeated: bool = False


class ChangeIntake:
    """Checks requests, appends them to the log in order of arrival, and answers them."""

    def __init__(
        self, outbox: Outbox, store: ReplicaStore, primary: Primary, checker: DocumentChecker
    ) -> None:
        self._outbox = outbox
        self._store = store
        self._primary = primary
        self._checker = checker
        self._history: ChangeHistory | None = None
        self._in_check: dict[int, Submission] = {}
        self._queue: deque[Submission] = deque()
        self._uncommitted: deque[Submission] = deque()
        self.accepted_count = 0

    def submit(
        self, call_id: int, request: SubmitChangeRequest | SetZoneRequest, now: float
    ) -> None:
        """Process a request; called only while this core is the active primary."""
        submission = Submission(call_id, request, now)
        problems = _request_problems(request)
        if problems:
            self._answer(submission, Outcome.INVALID, problems=problems)
        elif self._is_answered_by_history(submission, self._classify(submission)):
            return
        elif self._is_overtaken(request) or len(self._queue) >= MAX_WAITING_CHANGES:
            self._answer(submission, Outcome.UNAVAILABLE)
        else:
            self._queue.append(submission)
            if isinstance(request, SubmitChangeRequest):
                self._check(submission, request)
            else:
                submission.checked = True
                self.append_ready(now)

    def computed(self, ticket: int, outcome: CheckOutcome | None, error: str, now: float) -> None:
        """Handle the result of a document check; ``error`` is "" unless the check raised."""
        submission = self._in_check.pop(ticket, None)
        if submission is None:
            return
        if error or outcome is None:
            self._outbox.log("error", "configuration check failed", error=error)
            self._queue.remove(submission)
            self._answer(submission, Outcome.UNAVAILABLE)
        elif outcome.problems:
            self._queue.remove(submission)
            self._answer(submission, Outcome.INVALID, problems=outcome.problems)
        submission.checked = True
        submission.document = outcome.document if outcome else b""
        self.append_ready(now)

    def append_ready(self, now: float) -> None:
        """Append checked requests in order of arrival, if the primary may append now."""
        if not self._primary.may_append(now):
            return
        while self._queue and self._queue[0].checked:
            submission = self._queue.popleft()
            if not self._is_answered_by_history(submission, self._classify(submission)):
                self._append(submission)
        self._primary.replicator.pump(now)

    def committed(self, now: float) -> None:
        """Answer the requests whose entry has been committed."""
        committed = self._store.committed
        if self._history is not None:
            self._history.forget_committed(committed)
        waiting, self._uncommitted = self._uncommitted, deque()
        for submission in waiting:
            if submission.sequence <= committed:
                self._deliver(submission)
            else:
                self._uncommitted.append(submission)

    def tick(self, now: float) -> None:
        """Append what is ready; reject requests that have waited ``QUORUM_WAIT_S`` for a quorum."""
        self.append_ready(now)
        while self._queue and self._queue[0].checked:
            if now < self._queue[0].arrived_at + QUORUM_WAIT_S:
                return
            self._answer(self._queue.popleft(), Outcome.UNAVAILABLE)

    def stopped(self, now: float) -> None:
        """Answer all requests after the primary has stepped down.

        The outcome of appended changes is unknown; the others certainly have no effect.
        """
        for submission in self._uncommitted:
            conflicts = submission.outcome is Outcome.CONFLICT
            self._answer(submission, Outcome.UNAVAILABLE if conflicts else Outcome.UNKNOWN)
        for submission in self._queue:
            self._answer(submission, Outcome.UNAVAILABLE)
        self._uncommitted.clear()
        self._in_check.clear()
        self._queue.clear()
        self._history = None

    def _is_overtaken(self, request: SubmitChangeRequest | SetZoneRequest) -> bool:
        """Return whether a zone order is committed that the request's sender didn't know of.

        Such a request was delayed; applying it now would revert the later orders.
        """
        if not isinstance(request, SetZoneRequest) or request.known_zones is None:
            return False
        return is_newer(self._store.state.zones_version(), request.known_zones)

    def _classify(self, submission: Submission) -> Classification:
        history = self._open_history()
        request = submission.request
        if isinstance(request, SetZoneRequest):
            return history.classify_zone(_zone_change(request))
        depends_on_base = request.is_patch or request.base_required
        base_version = request.base_version if depends_on_base else None
        return history.classify_change(request.version, request.digest, base_version)

    def _open_history(self) -> ChangeHistory:
        """Return this term's history; it starts from the log as of the first request."""
        if self._history is None:
            uncommitted = self._store.log.after(self._store.committed)
            self._history = ChangeHistory(self._store.state, uncommitted)
        return self._history

    def _is_answered_by_history(
        self, submission: Submission, classification: Classification
    ) -> bool:
        """Return whether the request is a repeat or a conflict, and if so arrange its answer.

        The answer is sent once the entry that the classification depends on is committed.
        """
        if classification.verdict is Verdict.FRESH:
            return False
        submission.repeated = classification.verdict is Verdict.REPEATED
        submission.outcome = Outcome.ACCEPTED if submission.repeated else Outcome.CONFLICT
        submission.sequence = classification.depends_on
        if classification.depends_on <= self._store.committed:
            self._deliver(submission)
        else:
            self._uncommitted.append(submission)
        return True

    def _check(self, submission: Submission, request: SubmitChangeRequest) -> None:
        base_document = None
        if request.is_patch:
            newest = self._open_history().newest
            base_document = newest.document if newest else b""
        ticket = self._outbox.identifiers.next()
        self._in_check[ticket] = submission
        task = CheckTask(request.body, base_document)
        self._outbox.add(fx.Compute(ticket, self._checker.check, task))

    def _append(self, submission: Submission) -> None:
        entry = LogEntry(epoch=self._primary.epoch, sequence=self._store.last.sequence + 1)
        request = submission.request
        if isinstance(request, SubmitChangeRequest):
            entry.configuration = ConfigurationChange(
                version=request.version, digest=request.digest, document=submission.document
            )
        else:
            entry.zone = _zone_change(request)
        if not self._store.log.append(entry):
            raise AssertionError("new entry of the primary doesn't follow the end of its own log")
        self._open_history().add(entry)
        submission.sequence = entry.sequence
        self._uncommitted.append(submission)

    def _deliver(self, submission: Submission) -> None:
        if submission.outcome is Outcome.ACCEPTED and not submission.repeated:
            self.accepted_count += 1
        self._answer(submission, submission.outcome)

    def _answer(
        self, submission: Submission, outcome: Outcome, problems: tuple[str, ...] = ()
    ) -> None:
        request = submission.request
        answer: SubmitChangeAnswer | SetZoneAnswer
        if isinstance(request, SubmitChangeRequest):
            answer = self._change_answer(request, outcome, problems, repeated=submission.repeated)
        else:
            if outcome is Outcome.CONFLICT:
                outcome = Outcome.INVALID
                problems = ("operation_id: it was used for another order",)
            answer = SetZoneAnswer(
                outcome=outcome.value, primary_address="", problems=list(problems)
            )
        self._outbox.answer(submission.call_id, answer)

    def _change_answer(
        self,
        request: SubmitChangeRequest,
        outcome: Outcome,
        problems: tuple[str, ...],
        *,
        repeated: bool,
    ) -> SubmitChangeAnswer:
        version, digest = request.version, request.digest
        if outcome is Outcome.CONFLICT:
            version = self._store.state.version
            digest = self._store.state.changes.get(request.version, b"").hex()
        return SubmitChangeAnswer(
            outcome=outcome.value,
            version=version,
            digest=digest,
            problems=list(problems),
            primary_address="",
            repeated=repeated and outcome is Outcome.ACCEPTED,
        )


def _zone_change(request: SetZoneRequest) -> ZoneChange:
    return ZoneChange(zone=request.zone, emptied=request.emptied, operation_id=request.operation_id)


def _request_problems(request: SubmitChangeRequest | SetZoneRequest) -> tuple[str, ...]:
    if isinstance(request, SetZoneRequest):
        return _zone_problems(request)
    problems = []
    if not 1 <= request.version <= MAX_SAFE_INTEGER:
        problems.append(f"version: must be between 1 and {MAX_SAFE_INTEGER}")
    if hashlib.sha256(request.body).hexdigest() != request.digest:
        problems.append("digest: it isn't the sha256 of the body")
    return tuple(problems)


def _zone_problems(request: SetZoneRequest) -> tuple[str, ...]:
    problems = []
    for name, value in (("zone", request.zone), ("operation_id", request.operation_id)):
        if not 1 <= len(value) <= MAX_NAME_LENGTH:
            problems.append(f"{name}: must have 1 to {MAX_NAME_LENGTH} characters")
    return tuple(problems)
