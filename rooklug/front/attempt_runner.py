"""Runs the attempts of requests: calls a replica, checks its answer, and reports the outcome."""

import json

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import ProcessContext
from rooklug.front import answers
from rooklug.front.active_request import ActiveRequest
from rooklug.front.attempt import Attempt, AttemptOutcome, AttemptReport
from rooklug.front.requests import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    ROUTE_HEADER,
    encode_attempt_body,
)
from rooklug.front.routing_view import REGION_HEADER
from rooklug.front.streams import StreamChecker, StreamFault
from rooklug.front.verdicts import ServeAt

REPLICA_PATH = "/api/generate"
CONNECT_DEADLINE_S = 1.0
STREAM_IDLE_TIMEOUT_S = 10.0
# A time-out after a shorter wait is not counted against the replica.
MIN_CONCLUSIVE_WAIT_S = 1.0
MAX_REFUSAL_BYTES = 16 * 1024
MAX_ANSWER_BYTES = 32 * 1024 * 1024
NOT_RUN_CODES = {"busy": AttemptOutcome.BUSY, "not_loaded": AttemptOutcome.NOT_LOADED}


@attrs.frozen
class Progress:
    """The attempt is still running; ``effects`` pass on what has arrived."""

    effects: list[fx.Effect]


@attrs.frozen
class Finished:
    """The attempt produced a complete answer; ``effects`` send the rest of it to the caller."""

    report: AttemptReport
    effects: list[fx.Effect]


@attrs.frozen
class Failed:
    """The attempt ended without a complete answer.

    ``may_have_run`` is False only if the request certainly did not run at the replica.
    """

    report: AttemptReport
    may_have_run: bool
    effects: list[fx.Effect]
    log_fields: dict[str, str]


class AttemptRunner:
    """Starts attempts and handles their events until they finish or fail.

    Maps the id of each call in flight to its request.
    """

    def __init__(self, context: ProcessContext) -> None:
        self._context = context
        self._by_call_id: dict[int, ActiveRequest] = {}

    def request_of(self, call_id: int) -> ActiveRequest | None:
        """Return the request whose attempt has that call id, None if the attempt has ended."""
        return self._by_call_id.get(call_id)

    def start(
        self, request: ActiveRequest, serve_at: ServeAt, first_chunk_s: float, now: float
    ) -> fx.Effect:
        """Start an attempt and return its call to the replica, which carries the remaining time.

        Args:
            request: The request; it must have no attempt in flight.
            serve_at: The verdict with replica, model and deadline.
            first_chunk_s: How long the replica may take to its first chunk.
            now: Monotonic time.
        """
        head = request.head
        call_id = self._context.identifiers.next()
        checker = StreamChecker(head.request_id)
        request.attempt = Attempt(call_id, serve_at, now, checker, now, first_chunk_s)
        self._by_call_id[call_id] = request
        time_left = max(serve_at.until - now, 0.0)
        headers = {
            "Content-Type": "application/json",
            ROUTE_HEADER: head.route_name,
            REQUEST_ID_HEADER: head.request_id,
            DEADLINE_HEADER: str(int(time_left * 1000)),
            REGION_HEADER: head.source_region,
        }
        return fx.HttpCall(
            call_id=call_id,
            address=serve_at.replica.address,
            method="POST",
            path=REPLICA_PATH,
            body=encode_attempt_body(request.generate_body, head.request_id, serve_at.model),
            deadline_s=time_left,
            headers=headers,
            streaming=True,
            connect_deadline_s=min(CONNECT_DEADLINE_S, time_left),
            first_byte_deadline_s=min(first_chunk_s, time_left),
            not_after=serve_at.until,
            echoed_header=REQUEST_ID_HEADER,
        )

    def handle_event(
        self, request: ActiveRequest, event: ev.Event, now: float
    ) -> Progress | Finished | Failed:
        """Handle one HTTP event of the request's running attempt."""
        attempt = request.running_attempt
        if isinstance(event, ev.HttpFailed):
            return self._handle_call_failure(request, event, now)
        if isinstance(event, ev.HttpResponseStarted):
            attempt.status = event.status
            response_id = event.headers.get(REQUEST_ID_HEADER)
            attempt.is_identified = response_id == request.head.request_id
            return Progress([])
        if attempt.status != 200:
            return self._handle_refusal(request, event, now)
        if isinstance(event, ev.HttpBodyChunk):
            return self._handle_chunk(request, event.data, now)
        return self._handle_end(request, now)

    def cancel(self, request: ActiveRequest, now: float) -> Failed:
        """Cancel the attempt of a caller that has disconnected."""
        return self._fail(
            request, AttemptOutcome.CANCELLED, "caller gone", now, may_have_run=True, cancel=True
        )

    def fail_if_stalled(self, request: ActiveRequest, now: float) -> Failed | None:
        """Fail the attempt if its first or next chunk is overdue, else return None.

        Response headers alone are not progress.
        """
        attempt = request.running_attempt
        has_started = attempt.first_chunk_at is not None
        limit = STREAM_IDLE_TIMEOUT_S if has_started else attempt.first_chunk_timeout_s
        if now - attempt.last_progress_at < limit:
            return None
        # A started stream may also stall because its caller reads slowly, so it is not counted
        # against the replica.
        outcome = AttemptOutcome.CANCELLED if has_started else AttemptOutcome.TIMED_OUT
        return self._fail(
            request, outcome, "no piece for too long", now, may_have_run=True, cancel=True
        )

    def _handle_chunk(self, request: ActiveRequest, data: bytes, now: float) -> Progress | Failed:
        attempt = request.running_attempt
        checked = attempt.checker.feed(data)
        if isinstance(checked, StreamFault):
            message = checked.message
            return self._fail(
                request, AttemptOutcome.BROKEN, message, now, may_have_run=True, cancel=True
            )
        if not checked.texts:
            return Progress([])
        attempt.last_progress_at = now
        if attempt.first_chunk_at is None:
            attempt.first_chunk_at = now
        request.chunk_count += len(checked.texts)
        if not request.generate_body.stream:
            request.chunks.extend(checked.texts)
            request.answer_bytes += len(data)
            if request.answer_bytes > MAX_ANSWER_BYTES:
                outcome = AttemptOutcome.BROKEN
                return self._fail(
                    request, outcome, "answer too long", now, may_have_run=True, cancel=True
                )
            return Progress([])
        effects: list[fx.Effect] = self._start_answer(request)
        effects.append(fx.HttpStreamChunk(request.http_id, checked.lines))
        return Progress(effects)

    def _handle_end(self, request: ActiveRequest, now: float) -> Finished | Failed:
        end_line = request.running_attempt.checker.finish()
        if end_line.is_error():
            message = end_line.error.message
            return self._fail(request, AttemptOutcome.BROKEN, message, now, may_have_run=True)
        report = self._end(request, AttemptOutcome.SUCCESS, now)
        head = request.head
        if not request.generate_body.stream:
            answer = answers.complete_answer(request.http_id, head.request_id, request.chunks)
            return Finished(report, [answer])
        effects = self._start_answer(request)
        effects.append(fx.HttpStreamChunk(request.http_id, end_line.ok))
        effects.append(fx.HttpStreamEnd(request.http_id))
        return Finished(report, effects)

    def _start_answer(self, request: ActiveRequest) -> list[fx.Effect]:
        if request.answer_started:
            return []
        request.answer_started = True
        return [answers.stream_start(request.http_id, request.head.request_id)]

    def _handle_refusal(
        self, request: ActiveRequest, event: ev.Event, now: float
    ) -> Progress | Failed:
        """Collect a response other than 200.

        It means "not run" only with a code of ``NOT_RUN_CODES`` and the request's id: without the
        id it may be a late response to an earlier request.
        """
        attempt = request.running_attempt
        if isinstance(event, ev.HttpBodyChunk):
            attempt.refusal_body = (attempt.refusal_body + event.data)[:MAX_REFUSAL_BYTES]
            return Progress([])
        outcome = AttemptOutcome.BROKEN
        if attempt.is_identified:
            outcome = _refusal_outcome(attempt.status, attempt.refusal_body)
        may_have_run = outcome is AttemptOutcome.BROKEN
        return self._fail(
            request, outcome, f"status {attempt.status}", now, may_have_run=may_have_run
        )

    def _handle_call_failure(
        self, request: ActiveRequest, event: ev.HttpFailed, now: float
    ) -> Failed:
        outcome = _failure_outcome(request.running_attempt, event.send_state, now)
        may_have_run = event.send_state is not ev.SendState.NOT_SENT
        return self._fail(request, outcome, event.reason, now, may_have_run=may_have_run)

    def _fail(
        self,
        request: ActiveRequest,
        outcome: AttemptOutcome,
        reason: str,
        now: float,
        *,
        may_have_run: bool,
        cancel: bool = False,
    ) -> Failed:
        attempt = request.running_attempt
        fields = {
            "request_id": request.head.request_id,
            "replica": attempt.replica.replica_id,
            "outcome": outcome.value,
            "reason": reason,
        }
        report = self._end(request, outcome, now)
        effects: list[fx.Effect] = [fx.CancelHttpCall(attempt.call_id)] if cancel else []
        return Failed(report, may_have_run, effects, fields)

    def _end(self, request: ActiveRequest, outcome: AttemptOutcome, now: float) -> AttemptReport:
        attempt = request.running_attempt
        request.attempt = None
        del self._by_call_id[attempt.call_id]
        first = attempt.first_chunk_at
        return AttemptReport(
            serve_at=attempt.serve_at,
            outcome=outcome,
            elapsed_s=now - attempt.started_at,
            prompt_tokens=request.generate_body.prompt_tokens,
            first_chunk_s=None if first is None else first - attempt.started_at,
        )


def _failure_outcome(attempt: Attempt, send_state: ev.SendState, now: float) -> AttemptOutcome:
    """Classify a failed call.

    A call that was cut off by the request's deadline is CANCELLED, which does not count against
    the replica, unless the replica had at least ``MIN_CONCLUSIVE_WAIT_S`` for its first chunk.
    """
    deadline_passed = now >= attempt.serve_at.until
    wait_was_conclusive = now - attempt.started_at >= MIN_CONCLUSIVE_WAIT_S
    if send_state is ev.SendState.NOT_SENT:
        return AttemptOutcome.CANCELLED if deadline_passed else AttemptOutcome.CONNECT_FAILED
    if attempt.first_chunk_at is None and (wait_was_conclusive or not deadline_passed):
        return AttemptOutcome.TIMED_OUT
    return AttemptOutcome.CANCELLED if deadline_passed else AttemptOutcome.BROKEN


def _refusal_outcome(status: int, body: bytes) -> AttemptOutcome:
    if status != 503:
        return AttemptOutcome.BROKEN
    try:
        code = json.loads(body)["error"]["code"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return AttemptOutcome.BROKEN
    known = NOT_RUN_CODES if isinstance(code, str) else {}
    return known.get(code, AttemptOutcome.BROKEN)
