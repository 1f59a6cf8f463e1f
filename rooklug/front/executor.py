"""Executes model requests according to the verdicts of ``Decision``.

A request is retried at another replica only until the first byte of its answer has gone to the
caller. A request that can't be served gets a final answer at once, with a ``Retry-After``.
"""

from collections.abc import Iterable

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.front import answers
from rooklug.front.active_request import ActiveRequest, RequestState
from rooklug.front.attempt_runner import AttemptRunner, Failed, Finished, Progress
from rooklug.front.decision import Decision
from rooklug.front.demand import DemandCounts
from rooklug.front.executor_metrics import ExecutorCounters
from rooklug.front.readiness import DrainingStarted
from rooklug.front.requests import RequestHead, RequestProblem, read_generate_body, read_head
from rooklug.front.verdicts import QueueOutlook, RedirectTo, Refuse, ServeAt, Wait
from rooklug.front.view_component import RoutingViewChanged, RoutingViewComponent
from rooklug.front.wait_queue import WaitQueue

SWEEP_TIMER = "sweep"
SWEEP_INTERVAL_S = 0.25
QUEUE_TIMER = "pump"
QUEUE_INTERVAL_S = 0.05
AttemptEvent = ev.HttpBodyChunk | ev.HttpResponseStarted | ev.HttpResponseCompleted | ev.HttpFailed
"""Events of a call to a replica."""
ALREADY_QUEUED = QueueOutlook(ahead=0, has_capacity=True)


class GenerateComponent(BaseComponent):
    """Serves ``POST /v1/generate``; ``counters`` become metrics."""

    name = "generate"
    http_prefixes = (answers.GENERATE_PATH,)
    head_first_paths = (answers.GENERATE_PATH,)
    subscribes_to = (RoutingViewChanged, DrainingStarted)

    def __init__(
        self,
        context: ProcessContext,
        view_component: RoutingViewComponent,
        decision: Decision,
        demand: DemandCounts,
    ) -> None:
        self._context = context
        self._view_component = view_component
        self._decision = decision
        self._demand = demand
        self._runner = AttemptRunner(context)
        self._queue = WaitQueue()
        self._active: dict[int, ActiveRequest] = {}
        self._queue_timer_running = False
        self.counters = ExecutorCounters()

    def active_requests(self) -> int:
        """Return the number of requests without a final answer; a drain waits until it is 0."""
        return len(self._active)

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the counters and gauges of the request path, with those of the decision."""
        gauges = {"active": len(self._active), "queued": len(self._queue)}
        return [*self.counters.samples(gauges), *self._decision.metrics(now)]

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Handle an event of a request or an attempt, a timer, a new view, or a drain."""
        match event:
            case ev.HttpBodyChunk() | ev.HttpResponseStarted() | ev.HttpResponseCompleted():
                return self._on_attempt_event(event, now)
            case ev.HttpFailed():
                return self._on_attempt_event(event, now)
            case ev.HttpRequestArrived():
                return self._on_arrival(event, now)
            case ev.HttpRequestBody():
                return self._on_body(event.request_id, event.body, now)
            case ev.HttpRequestClosed():
                return self._on_closed(event.request_id, now)
            case ev.TimerFired():
                return self._on_timer(event.name, now)
            case ev.Started():
                return [fx.StartTimer(SWEEP_TIMER, SWEEP_INTERVAL_S)]
            case RoutingViewChanged():
                self._decision.view_changed(self._view_component.view, now)
                return self._process_queue(now)
            case DrainingStarted():
                self._decision.draining = True
                return self._process_queue(now)
        return []

    # Arriving requests --------------------------------------------------------

    def _on_arrival(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        http_id = event.request_id
        if event.method != "POST" or event.path != answers.GENERATE_PATH:
            problem = RequestProblem(405, "method_not_allowed", f"POST {answers.GENERATE_PATH}")
            return [answers.problem_answer(http_id, problem)]
        self.counters.arrived += 1
        if self._view_component.view.configuration is None:
            message = "no configuration has come yet"
            return [answers.not_run_answer(http_id, "", "no_configuration", message, 1)]
        fallback = f"{self._context.node_id}-{self._context.incarnation}-{http_id}"
        head = read_head(self._view_component.view, event.headers, fallback, now)
        if head.is_error():
            self.counters.invalid += 1
            return [answers.problem_answer(http_id, head.error)]
        request = ActiveRequest(http_id, head.ok)
        verdict = self._decision.check_head(head.ok, self._outlook(head.ok), now)
        if isinstance(verdict, RedirectTo | Refuse):
            return self._execute_verdict(request, verdict, now)
        self._active[http_id] = request
        if event.body_withheld:
            return [fx.ReadRequestBody(http_id)]
        return self._on_body(http_id, event.body, now)

    def _on_body(self, http_id: int, data: bytes, now: float) -> list[fx.Effect]:
        request = self._active.get(http_id)
        if request is None or request.state is not RequestState.RECEIVING_BODY:
            return []
        body = read_generate_body(data, request.head.route)
        if body.is_error():
            self.counters.invalid += 1
            del self._active[http_id]
            return [answers.problem_answer(http_id, body.error)]
        request.body = body.ok
        self._decision.record_first_attempt(now)
        queued = self._process_queue(now) if len(self._queue) else []
        return [*queued, *self._decide(request, now)]

    def _on_closed(self, http_id: int, now: float) -> list[fx.Effect]:
        request = self._active.pop(http_id, None)
        if request is None:
            return []
        self.counters.caller_gone += 1
        self._queue.remove(http_id)
        if request.attempt is None:
            return []
        cancel = self._runner.cancel(request, now)
        self._decision.record_end(cancel.report, now)
        return [*cancel.effects, *self._process_queue(now)]

    # Verdicts -----------------------------------------------------------------

    def _decide(self, request: ActiveRequest, now: float) -> list[fx.Effect]:
        verdict = self._decision.choose(
            request.placement_request(), self._outlook(request.head), now
        )
        return self._execute_verdict(request, verdict, now)

    def _outlook(self, head: RequestHead) -> QueueOutlook:
        return self._queue.outlook(head.route.priority, self._decision.queue_capacity())

    def _execute_verdict(
        self, request: ActiveRequest, verdict: ServeAt | RedirectTo | Refuse | Wait, now: float
    ) -> list[fx.Effect]:
        if isinstance(verdict, ServeAt):
            return self._start_attempt(request, verdict, now)
        if isinstance(verdict, Wait):
            return self._enqueue(request, verdict, now)
        if isinstance(verdict, RedirectTo) and not request.may_have_run:
            self.counters.redirected += 1
            self._active.pop(request.http_id, None)
            head = request.head
            return [answers.redirect_answer(request.http_id, head.request_id, verdict.front)]
        if isinstance(verdict, RedirectTo):
            verdict = self._decision.refusal("no_home", "the route has moved", now)
        return [self._fail_request(request, verdict)]

    def _start_attempt(
        self, request: ActiveRequest, serve_at: ServeAt, now: float
    ) -> list[fx.Effect]:
        request.state = RequestState.RUNNING
        self._decision.record_start(serve_at, request.generate_body, now)
        first_chunk_s = self._decision.first_chunk_timeout(serve_at, request.generate_body, now)
        return [self._runner.start(request, serve_at, first_chunk_s, now)]

    def _enqueue(self, request: ActiveRequest, wait: Wait, now: float) -> list[fx.Effect]:
        request.state = RequestState.QUEUED
        head = request.head
        lane = (head.route_name, head.source_region)
        capacity = self._decision.queue_capacity()
        evicted = self._queue.add(request.http_id, head.route.priority, wait.until, lane, capacity)
        effects: list[fx.Effect] = []
        for http_id in evicted:
            refusal = self._decision.refusal("overloaded", "the queue is full", now)
            effects.append(self._fail_request(self._active[http_id], refusal))
        return [*effects, *self._start_queue_timer()]

    def _fail_request(self, request: ActiveRequest, refusal: Refuse) -> fx.Effect:
        """Send the final answer: "not run" if that is certain, else "unknown"."""
        self._active.pop(request.http_id, None)
        head = request.head
        prompt_tokens = request.body.prompt_tokens if request.body else None
        self._demand.record_refused(head, prompt_tokens)
        arguments = (refusal.code, refusal.message, refusal.retry_after_s)
        if request.may_have_run:
            self.counters.unknown += 1
            return answers.unknown_answer(request.http_id, head.request_id, *arguments)
        self.counters.count_refusal(refusal.code)
        return answers.not_run_answer(request.http_id, head.request_id, *arguments)

    # The running attempt --------------------------------------------------------------

    def _on_attempt_event(self, event: AttemptEvent, now: float) -> list[fx.Effect]:
        request = self._runner.request_of(event.call_id)
        if request is None:
            return []
        step = self._runner.handle_event(request, event, now)
        if isinstance(step, Progress):
            return step.effects
        if isinstance(step, Finished):
            return self._on_attempt_finished(request, step, now)
        return self._on_attempt_failed(request, step, now)

    def _on_attempt_finished(
        self, request: ActiveRequest, step: Finished, now: float
    ) -> list[fx.Effect]:
        del self._active[request.http_id]
        self.counters.completed += 1
        self._decision.record_end(step.report, now)
        self._decision.record_cached_blocks(
            request.head, request.generate_body, step.report.serve_at.replica
        )
        self._demand.record_attempt(step.report)
        self._demand.record_answered(
            request.head, request.generate_body.prompt_tokens, request.chunk_count
        )
        return [*step.effects, *self._process_queue(now)]

    def _on_attempt_failed(
        self, request: ActiveRequest, step: Failed, now: float
    ) -> list[fx.Effect]:
        """Abort a stream that has started, else retry or send a final answer."""
        self._decision.record_end(step.report, now)
        self._demand.record_attempt(step.report)
        request.may_have_run = request.may_have_run or step.may_have_run
        request.tried |= {step.report.serve_at.replica.replica_id}
        log = fx.Log(
            "warning", "attempt failed; retrying if no answer has started", step.log_fields
        )
        if request.answer_started:
            del self._active[request.http_id]
            self.counters.broken += 1
            self._demand.record_answered(
                request.head, request.generate_body.prompt_tokens, request.chunk_count
            )
            abort = fx.HttpStreamAbort(request.http_id)
            return [*step.effects, log, abort, *self._process_queue(now)]
        request.chunks.clear()
        request.chunk_count = 0
        request.answer_bytes = 0
        return [*step.effects, log, *self._retry(request, now), *self._process_queue(now)]

    def _retry(self, request: ActiveRequest, now: float) -> list[fx.Effect]:
        if now >= request.head.deadline:
            refusal = self._decision.refusal("deadline", "its time was over", now)
            return [self._fail_request(request, refusal)]
        if not self._decision.may_retry(now):
            refusal = self._decision.refusal("replica_failed", "no further try is allowed", now)
            return [self._fail_request(request, refusal)]
        self.counters.retried += 1
        return self._decide(request, now)

    # Timers ----------------------------------------------------------------------

    def _on_timer(self, name: str, now: float) -> list[fx.Effect]:
        if name == QUEUE_TIMER:
            self._queue_timer_running = False
            return self._process_queue(now)
        return [*self._sweep(now), fx.StartTimer(SWEEP_TIMER, SWEEP_INTERVAL_S)]

    def _sweep(self, now: float) -> list[fx.Effect]:
        """Fail attempts that make no progress, and requests whose body is overdue."""
        effects: list[fx.Effect] = []
        for request in tuple(self._active.values()):
            if request.state is RequestState.RECEIVING_BODY and now >= request.head.deadline:
                refusal = self._decision.refusal("deadline", "its body came too late", now)
                effects.append(self._fail_request(request, refusal))
            elif request.attempt is not None:
                stalled = self._runner.fail_if_stalled(request, now)
                effects.extend(self._on_attempt_failed(request, stalled, now) if stalled else ())
        return effects

    def _process_queue(self, now: float) -> list[fx.Effect]:
        """Refuse requests that have waited too long, and start those that can be placed.

        Goes in queue order. Once a request must go on waiting, later ones of its lane are
        skipped, as they wait for the same replicas.
        """
        effects: list[fx.Effect] = []
        for http_id in self._queue.take_expired(now):
            refusal = self._decision.refusal("overloaded", "no replica was free in time", now)
            effects.append(self._fail_request(self._active[http_id], refusal))
        blocked = set()
        for entry in self._queue:
            if entry.lane in blocked:
                continue
            request = self._active[entry.http_id]
            verdict = self._decision.choose(request.placement_request(), ALREADY_QUEUED, now)
            if isinstance(verdict, Wait):
                blocked.add(entry.lane)
                continue
            self._queue.remove(entry.http_id)
            effects.extend(self._execute_verdict(request, verdict, now))
        return [*effects, *self._start_queue_timer()]

    def _start_queue_timer(self) -> list[fx.Effect]:
        if self._queue_timer_running or not len(self._queue):
            return []
        self._queue_timer_running = True
        return [fx.StartTimer(QUEUE_TIMER, QUEUE_INTERVAL_S)]
