"""Takes operators' changes at the primary, and answers each when its fate is known.

Answers: "unknown" only for a change that is appended and may yet commit, "unavailable"
only for one that certainly isn't taken by this request.
"""

import hashlib
from collections import deque

import attrs

from rooklug.core.constants import MAX_NAME_LENGTH, MAX_WAITING_CHANGES, QUORUM_WAIT_S
from rooklug.core.documents import CheckOutcome, CheckTask, DocumentChecker
from rooklug.core.leader import Leader
from rooklug.core.ledger import Judgement, Ledger, Verdict
from rooklug.core.outbox import Outbox
from rooklug.core.store import CopyStore
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


@attrs.define(eq=False)
class Submission:
    """One operator's request. ``sequence`` is set once its fate hangs on that entry."""

    call_id: int
    request: SubmitChangeRequest | SetZoneRequest
    arrived_at: float
    checked: bool = False
    document: bytes = b""
    sequence: int = 0
    outcome: str = "accepted"
    repeated: bool = False

    @property
    def zone_change(self) -> ZoneChange | None:
        """The zone order, None for a configuration change."""
        request = self.request
        if not isinstance(request, SetZoneRequest):
            return None
        return ZoneChange(
            zone=request.zone, emptied=request.emptied, operation_id=request.operation_id
        )


class ChangeIntake:
    """Checks, appends in order of arrival, and answers."""

    def __init__(
        self, outbox: Outbox, store: CopyStore, leader: Leader, checker: DocumentChecker
    ) -> None:
        self._outbox = outbox
        self._store = store
        self._leader = leader
        self._checker = checker
        self._ledger: Ledger | None = None
        self._checking: dict[int, Submission] = {}
        self._waiting: deque[Submission] = deque()
        self._undecided: deque[Submission] = deque()
        self.accepted_count = 0

    def submit(
        self, call_id: int, request: SubmitChangeRequest | SetZoneRequest, now: float
    ) -> None:
        """Take a request that came to the active primary."""
        submission = Submission(call_id, request, now)
        problems = _request_problems(request)
        if problems:
            self._answer(submission, "invalid", problems=problems)
        elif self._decided(submission, self._judge(submission)):
            return
        elif self._is_outdated(request) or len(self._waiting) >= MAX_WAITING_CHANGES:
            self._answer(submission, "unavailable")
        else:
            self._waiting.append(submission)
            if isinstance(request, SubmitChangeRequest):
                self._check(submission, request)
            else:
                submission.checked = True
                self.append_ready(now)

    def computed(self, ticket: int, outcome: CheckOutcome | None, error: str, now: float) -> None:
        """Take the result of a check."""
        submission = self._checking.pop(ticket, None)
        if submission is None:
            return
        if error or outcome is None:
            self._outbox.log("error", "a check failed", error=error)
            self._waiting.remove(submission)
            self._answer(submission, "unavailable")
        elif outcome.problems:
            self._waiting.remove(submission)
            self._answer(submission, "invalid", problems=outcome.problems)
        submission.checked = True
        submission.document = outcome.document if outcome else b""
        self.append_ready(now)

    def append_ready(self, now: float) -> None:
        """Append what is checked, in order of arrival, when the primary may append."""
        if not self._leader.may_append(now):
            return
        while self._waiting and self._waiting[0].checked:
            submission = self._waiting.popleft()
            if not self._decided(submission, self._judge(submission)):
                self._append(submission)
        self._leader.replicator.pump(now)

    def committed(self, now: float) -> None:
        """Answer everything that hangs on committed entries."""
        committed = self._store.committed
        if self._ledger is not None:
            self._ledger.forget_committed(committed)
        waiting, self._undecided = self._undecided, deque()
        for submission in waiting:
            if submission.sequence <= committed:
                self._deliver(submission)
            else:
                self._undecided.append(submission)

    def tick(self, now: float) -> None:
        """Refuse what has waited too long for a second member in sync."""
        self.append_ready(now)
        while self._waiting and self._waiting[0].checked:
            if now < self._waiting[0].arrived_at + QUORUM_WAIT_S:
                return
            self._answer(self._waiting.popleft(), "unavailable")

    def stopped(self, now: float) -> None:
        """The primary acts no more: appended changes are unknown, others aren't taken."""
        for submission in self._undecided:
            lost = submission.outcome == "conflict"
            self._answer(submission, "unavailable" if lost else "unknown")
        for submission in self._waiting:
            self._answer(submission, "unavailable")
        self._undecided.clear()
        self._checking.clear()
        self._waiting.clear()
        self._ledger = None

    def _is_outdated(self, request: SubmitChangeRequest | SetZoneRequest) -> bool:
        """Tell whether a zone order was held up on its way while later ones were taken.

        Its operator has long gone on: carried out now, it would undo what came after it.
        """
        if not isinstance(request, SetZoneRequest) or request.known_zones is None:
            return False
        return is_newer(self._store.state.zones_version(), request.known_zones)

    def _judge(self, submission: Submission) -> Judgement:
        if self._ledger is None:
            uncommitted = self._store.log.after(self._store.committed)
            self._ledger = Ledger(self._store.state, uncommitted)
        request = submission.request
        if isinstance(request, SetZoneRequest):
            return self._ledger.judge_zone(submission.zone_change)
        rests_on_base = request.is_patch or request.base_required
        base_version = request.base_version if rests_on_base else None
        return self._ledger.judge_change(request.version, request.digest, base_version)

    def _decided(self, submission: Submission, judgement: Judgement) -> bool:
        """Answer a repeat or a conflict, once what it rests on is committed."""
        if judgement.verdict is Verdict.FRESH:
            return False
        submission.repeated = judgement.verdict is Verdict.REPEATED
        submission.outcome = "accepted" if submission.repeated else "conflict"
        submission.sequence = judgement.evidence
        if judgement.evidence <= self._store.committed:
            self._deliver(submission)
        else:
            self._undecided.append(submission)
        return True

    def _check(self, submission: Submission, request: SubmitChangeRequest) -> None:
        base_document = None
        if request.is_patch:
            newest = self._ledger.newest
            base_document = newest.document if newest else b""
        ticket = self._outbox.identifiers.next()
        self._checking[ticket] = submission
        task = CheckTask(request.body, base_document)
        self._outbox.add(fx.Compute(ticket, self._checker.check, task))

    def _append(self, submission: Submission) -> None:
        entry = LogEntry(epoch=self._leader.epoch, sequence=self._store.last.sequence + 1)
        request = submission.request
        if isinstance(request, SubmitChangeRequest):
            entry.configuration = ConfigurationChange(
                version=request.version, digest=request.digest, document=submission.document
            )
        else:
            entry.zone = submission.zone_change
        if not self._store.log.append(entry):
            raise AssertionError("an entry of the primary doesn't follow its own log")
        self._ledger.add(entry)
        submission.sequence = entry.sequence
        self._undecided.append(submission)

    def _deliver(self, submission: Submission) -> None:
        if submission.outcome == "accepted" and not submission.repeated:
            self.accepted_count += 1
        self._answer(submission, submission.outcome)

    def _answer(self, submission: Submission, outcome: str, problems: tuple[str, ...] = ()) -> None:
        request = submission.request
        if isinstance(request, SubmitChangeRequest):
            answer = self._change_answer(request, outcome, submission.repeated, problems)
        else:
            if outcome == "conflict":
                outcome = "invalid"
                problems = ("operation_id: it was used for another order",)
            answer = SetZoneAnswer(outcome=outcome, primary_address="", problems=list(problems))
        self._outbox.answer(submission.call_id, answer)

    def _change_answer(
        self, request: SubmitChangeRequest, outcome: str, repeated: bool, problems: tuple[str, ...]
    ) -> SubmitChangeAnswer:
        version, digest = request.version, request.digest
        if outcome == "conflict":
            version = self._store.state.version
            digest = self._store.state.changes.get(request.version, b"").hex()
        return SubmitChangeAnswer(
            outcome=outcome,
            version=version,
            digest=digest,
            problems=list(problems),
            primary_address="",
            repeated=repeated and outcome == "accepted",
        )


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
