"""Serves ``POST /v1/once``, from a request's headers to its final answer.

An attempt writes to a back end only after its claim has been granted, and at most once. An
attempt without a result is answered at once: "not run" if that is certain for the key, else
"unknown".
"""

from collections import Counter
from collections.abc import Iterable

from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.front.once_only import answers
from rooklug.front.once_only.attempt import Attempt, AttemptState
from rooklug.front.once_only.attempt_table import AttemptTable
from rooklug.front.once_only.backend import backend_call, result_of
from rooklug.front.once_only.claim_requester import (
    RETRY_TIMER,
    AlreadyDone,
    ClaimRequester,
    ClaimResolution,
    ClaimUnavailable,
    Granted,
    PayloadDiffers,
)
from rooklug.front.once_only.claims import key_digest, shard_of
from rooklug.front.once_only.limits import REPLICATION_DEADLINE_S, RETRY_AFTER_S
from rooklug.front.once_only.once_decision import OnceDecision
from rooklug.front.once_only.pending_calls import PendingCalls
from rooklug.front.once_only.requests import OnceHead, read_head, read_payload
from rooklug.front.readiness import DrainingStarted
from rooklug.front.requests import RequestProblem
from rooklug.front.verdicts import RedirectTo, Refuse
from rooklug.front.view_component import RoutingViewChanged
from rooklug.wire.generated.claims.ttypes import ClaimRecord, CopyResultRequest

DEADLINE_TIMER = "deadline:"
_CLAIM_UNAVAILABLE = Refuse(
    "claims_unavailable", "no owner of the key's shard could decide", RETRY_AFTER_S
)
_DEADLINE = Refuse("deadline", "the deadline has passed", RETRY_AFTER_S)
_NO_ANSWER = Refuse("no_answer", "it was written to a back end that gave no answer", RETRY_AFTER_S)
_RESULT_GONE = Refuse("result_gone", "it has run; its result isn't kept any more", RETRY_AFTER_S)
_EARLIER_MAY_HAVE_RUN = Refuse("unknown", "an earlier sending may have run", RETRY_AFTER_S)


class OnceOnlyComponent(BaseComponent):
    """Serves once-only requests of this front's callers.

    ``_heads`` are requests whose body has not arrived, ``_writes`` the calls to back ends.
    """

    name = "once-only"
    http_prefixes = (answers.ONCE_PATH,)
    head_first_paths = (answers.ONCE_PATH,)
    subscribes_to = (RoutingViewChanged, DrainingStarted)

    def __init__(
        self, context: ProcessContext, core_link: CoreLink, attempts: AttemptTable
    ) -> None:
        self._context = context
        self._core_link = core_link
        self._attempts = attempts
        self._calls = PendingCalls(context.identifiers)
        self._claim_requester = ClaimRequester(
            core_link, attempts, self._calls, self._on_claim_resolved
        )
        self._decision = OnceDecision(context.node_id, context.random)
        self._heads: dict[int, OnceHead] = {}
        self._writes: dict[int, Attempt] = {}
        self._answers: Counter[str] = Counter()

    def active_requests(self) -> int:
        """Return the number of callers waiting for an answer; a drain waits until it is 0."""
        return self._attempts.unanswered + len(self._heads)

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Handle an event of a request, a call or a back end, a timer, a new view, or a drain."""
        if isinstance(event, RoutingViewChanged):
            self._decision.view = event.view
            return []
        if isinstance(event, DrainingStarted):
            self._decision.draining = True
            return []
        if isinstance(event, ev.HttpRequestArrived):
            return self._on_request(event, now)
        if isinstance(event, ev.HttpRequestBody):
            return self._on_body(event, now)
        if isinstance(event, ev.HttpRequestClosed):
            return self._on_closed(event)
        if isinstance(event, ev.TimerFired):
            return self._on_timer(event.name, now)
        if isinstance(event, ev.CallAnswered | ev.CallFailed):
            return self._calls.end(event, now)
        if isinstance(event, ev.HttpAnswered | ev.HttpFailed):
            return self._on_backend_finished(event, now)
        return []

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Yield the number of active requests, and of answers by outcome."""
        yield MetricSample(
            "rooklug_once_active",
            self.active_requests(),
            "gauge",
            "Once-only requests without an answer yet.",
        )
        for outcome in sorted(self._answers):
            yield MetricSample(
                "rooklug_once_answers_total",
                self._answers[outcome],
                "counter",
                "Answers to once-only requests.",
                {"outcome": outcome},
            )

    # Headers and body --------------------------------------------------------------------

    def _on_request(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        if event.path != answers.ONCE_PATH or event.method != "POST":
            problem = RequestProblem(405, "wrong_method", "use POST /v1/once")
            return [answers.problem_answer(event.request_id, problem)]
        if not self._decision.has_configuration:
            return [answers.not_ready_answer(event.request_id, event.headers)]
        fallback_id = f"{self._context.incarnation}-once-{event.request_id}"
        head = read_head(self._decision.view, event.headers, fallback_id, now)
        if head.is_error():
            return [answers.problem_answer(event.request_id, head.error)]
        verdict = self._decision.check_head(head.ok, len(self._attempts) + len(self._heads))
        if isinstance(verdict, RedirectTo):
            answer = answers.redirect_answer(event.request_id, head.ok, verdict.front)
            return [self._count_answer(answer)]
        if isinstance(verdict, Refuse):
            not_run = head.ok.is_first_attempt
            answer = answers.failure_answer(event.request_id, head.ok, verdict, not_run=not_run)
            return [self._count_answer(answer)]
        self._heads[event.request_id] = head.ok
        if event.body_withheld:
            return [fx.ReadRequestBody(event.request_id)]
        return self._on_body(ev.HttpRequestBody(event.request_id, event.body), now)

    def _on_body(self, event: ev.HttpRequestBody, now: float) -> list[fx.Effect]:
        head = self._heads.pop(event.request_id, None)
        if head is None:
            return []
        payload = read_payload(event.body)
        if payload.is_error():
            return [answers.problem_answer(event.request_id, payload.error)]
        number = self._attempts.next_number()
        attempt = Attempt(
            number=number,
            http_id=event.request_id,
            head=head,
            payload=payload.ok,
            shard=shard_of(head.route_name, head.key),
            claim=self._claim_template(head, number),
            queue_wait_s=self._decision.queue_wait_s(),
        )
        self._attempts.add(attempt)
        deadline = fx.StartTimer(f"{DEADLINE_TIMER}{number}", max(0.0, head.deadline - now))
        return [deadline, *self._claim_requester.proceed(attempt, now)]

    def _claim_template(self, head: OnceHead, number: int) -> ClaimRecord:
        digest = key_digest(head.route_name, head.key)
        return ClaimRecord(
            key_digest=digest,
            epoch=0,
            counter=0,
            sequence=0,
            asker_id=self._attempts.node_id,
            asker_incarnation=self._attempts.incarnation,
            attempt=number,
            copy_id=self._decision.choose_result_replica(head, digest),
        )

    # Claim resolution and the back end ---------------------------------------------------

    def _on_claim_resolved(
        self, attempt: Attempt, resolution: ClaimResolution, now: float
    ) -> list[fx.Effect]:
        if isinstance(resolution, Granted):
            self._attempts.had_claims = True
            attempt.state = AttemptState.WRITING
            return self._write(attempt, now)
        if isinstance(resolution, ClaimUnavailable):
            return self._release(attempt, _CLAIM_UNAVAILABLE)
        effects = self._finish(attempt, AttemptState.RELEASED)
        if isinstance(resolution, AlreadyDone) and resolution.result:
            answer = answers.done_answer(
                attempt.http_id, attempt.head, resolution.result, repeated=True
            )
            return [*effects, *self._respond(attempt, answer, "repeated")]
        if isinstance(resolution, PayloadDiffers):
            answer = answers.key_reused_answer(attempt.http_id, attempt.head)
            return [*effects, *self._respond(attempt, answer)]
        refusal = _RESULT_GONE if isinstance(resolution, AlreadyDone) else _EARLIER_MAY_HAVE_RUN
        return [*effects, *self._respond_unknown(attempt, refusal)]

    def _write(self, attempt: Attempt, now: float) -> list[fx.Effect]:
        verdict = self._decision.choose_replica(attempt, now)
        if isinstance(verdict, Refuse):
            return self._release(attempt, verdict)
        replica = verdict.replica
        attempt.tried_replicas |= {replica.replica_id}
        attempt.replica_id = replica.replica_id
        call_id = self._context.identifiers.next()
        self._writes[call_id] = attempt
        return [backend_call(call_id, replica, attempt, now)]

    def _on_backend_finished(
        self, event: ev.HttpAnswered | ev.HttpFailed, now: float
    ) -> list[fx.Effect]:
        attempt = self._writes.pop(event.call_id, None)
        if attempt is None:
            return []
        if isinstance(event, ev.HttpFailed) and event.send_state is ev.SendState.NOT_SENT:
            self._decision.replica_failed(attempt.replica_id, now)
            return self._write(attempt, now)
        result = None
        if isinstance(event, ev.HttpAnswered):
            result = result_of(attempt, event.status, event.body)
        if result is None:
            self._decision.replica_failed(attempt.replica_id, now)
            effects = self._finish(attempt, AttemptState.UNKNOWN)
            return [*effects, *self._respond_unknown(attempt, _NO_ANSWER)]
        effects = [
            *self._finish(attempt, AttemptState.DONE, result),
            *self._replicate_result(attempt, result),
        ]
        answer = answers.done_answer(attempt.http_id, attempt.head, result, repeated=False)
        return [*self._respond(attempt, answer), *effects]

    def _replicate_result(self, attempt: Attempt, result: bytes) -> list[fx.Effect]:
        for node in self._core_link.members():
            if node.node_id == attempt.claim.copy_id:
                request = CopyResultRequest(attempt.claim, attempt.payload.digest, result)
                address = node.internal_address
                return [self._calls.call(address, request, REPLICATION_DEADLINE_S, lambda *_: [])]
        return []

    # Timers and final answers ------------------------------------------------------------

    def _on_timer(self, name: str, now: float) -> list[fx.Effect]:
        if name.startswith(RETRY_TIMER):
            attempt = self._attempts.live(int(name.removeprefix(RETRY_TIMER)))
            return self._claim_requester.proceed(attempt, now) if attempt else []
        attempt = self._attempts.live(int(name.removeprefix(DEADLINE_TIMER)))
        if attempt is None:
            return []
        if attempt.state is AttemptState.WRITING:
            return self._respond_unknown(attempt, _DEADLINE)
        if attempt.state is AttemptState.WAITING:
            effects = self._finish(attempt, AttemptState.RELEASED)
            return [*effects, *self._respond_unknown(attempt, _DEADLINE)]
        return self._release(attempt, _DEADLINE)

    def _on_closed(self, event: ev.HttpRequestClosed) -> list[fx.Effect]:
        self._heads.pop(event.request_id, None)
        attempt = self._attempts.by_http(event.request_id)
        if attempt is None:
            return []
        self._attempts.mark_answered(attempt)
        if attempt.state is AttemptState.WRITING:
            return []
        return self._finish(attempt, AttemptState.RELEASED)

    def _release(self, attempt: Attempt, refusal: Refuse) -> list[fx.Effect]:
        """End an attempt that has written nothing, so that it never will."""
        effects = self._finish(attempt, AttemptState.RELEASED)
        return [
            *effects,
            *self._respond_failure(attempt, refusal, not_run=attempt.certainly_not_run),
        ]

    def _finish(
        self, attempt: Attempt, state: AttemptState, result: bytes = b""
    ) -> list[fx.Effect]:
        self._attempts.finish(attempt, state, result)
        return [
            fx.CancelTimer(f"{RETRY_TIMER}{attempt.number}"),
            fx.CancelTimer(f"{DEADLINE_TIMER}{attempt.number}"),
        ]

    def _respond(
        self, attempt: Attempt, answer: fx.HttpRespond, outcome: str = ""
    ) -> list[fx.Effect]:
        if attempt.answered:
            return []
        self._attempts.mark_answered(attempt)
        return [self._count_answer(answer, outcome)]

    def _respond_unknown(self, attempt: Attempt, refusal: Refuse) -> list[fx.Effect]:
        return self._respond_failure(attempt, refusal, not_run=False)

    def _respond_failure(
        self, attempt: Attempt, refusal: Refuse, *, not_run: bool
    ) -> list[fx.Effect]:
        answer = answers.failure_answer(attempt.http_id, attempt.head, refusal, not_run=not_run)
        return self._respond(attempt, answer)

    def _count_answer(self, answer: fx.HttpRespond, outcome: str = "") -> fx.HttpRespond:
        self._answers[outcome or answers.OUTCOME_OF_STATUS[answer.status]] += 1
        return answer
