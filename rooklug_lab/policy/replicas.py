"""Simulated replicas: model replicas with an engine, application replicas with slots."""

from collections import deque
from collections.abc import Callable

import attrs

from rooklug.engine import events as ev
from rooklug.engine.effects import HttpCall
from rooklug_lab.gateway.protocols import NAMES
from rooklug_lab.policy.arrivals import ClientRequest
from rooklug_lab.policy.engine import Sequence, ServingEngine
from rooklug_lab.policy.shapes import ServiceShape, ZoneShape
from rooklug_lab.sim.scheduler import Scheduler

CHUNK_INTERVAL_S = 0.2
"""After the first event, stream events are batched and delivered at this interval at most."""
COLD_CRASH_FACTOR = 2.5
"""A cold replica crashes when it gets more than this multiple of its cold rate in a second."""
LOAD_HEADER = "rooklug-load"
"""Response header: running requests, waiting requests, slots. No policy reads it yet."""

Deliver = Callable[[ev.Event], None]


@attrs.define(eq=False)
class Job:
    """A request at a replica; ``deliver`` sends response events to the calling front.

    ``key`` is unique across the calls of all fronts. ``last_delivered_at`` is when the last
    events were delivered (negative: none yet), ``after_event`` the event that a resumed stream
    continues from.
    """

    key: str
    call: HttpCall
    request: ClientRequest
    deliver: Deliver
    sequence: Sequence | None = None
    last_delivered_at: float = -1.0
    delivered_events: int = 0
    after_event: int = 0


@attrs.define(eq=False)
class EmulatedReplica:
    """One incarnation of a replica; a restart creates a new object with another id."""

    replica_id: str
    address: str
    service: ServiceShape
    zone: ZoneShape
    slowness: float
    scheduler: Scheduler
    cold_until: float = 0.0
    draining: bool = False
    up: bool = True
    dark: bool = False
    failing_share: float = 0.0
    hangs: bool = False
    engine: ServingEngine | None = None
    jobs: dict[str, Job] = attrs.field(factory=dict)
    queue: deque[Job] = attrs.field(factory=deque)
    running: int = 0
    cold_arrivals: deque[float] = attrs.field(factory=deque)
    on_crash: Callable[["EmulatedReplica"], None] = lambda replica: None
    worst_cold_second: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the engine of a model replica; application replicas have none."""
        if self.service.engine is not None:
            self.engine = ServingEngine(self.service.engine, self.slowness)

    def arrive(self, job: Job, draw: float) -> None:
        """Receive a request; it fails if ``draw``, in [0, 1), is below ``failing_share``."""
        if not self.up:
            return
        now = self.scheduler.now
        if job.call.headers.get(NAMES.expected_replica, self.replica_id) != self.replica_id:
            self._reject(job, 421)
            return
        if self._crashes_when_cold(now):
            self.on_crash(self)
            return
        if self.hangs:
            self.jobs[job.key] = job
            return
        if draw < self.failing_share:
            self._answer(job, 500, {NAMES.signature: self.replica_id}, b"failed")
            return
        if self.engine is None:
            self._take_work(job)
        else:
            self._take_prompt(job, now)

    def cancel(self, key: str) -> None:
        """Drop a request whose caller has closed the connection."""
        job = self.jobs.pop(key, None)
        if job is None:
            return
        if job.sequence is not None:
            self.engine.cancel(job.sequence)
        elif job in self.queue:
            self.queue.remove(job)

    def stop(self, dark: bool) -> list[Job]:
        """Stop at once; return the jobs to reset, which are none after a power loss (``dark``)."""
        self.up, self.dark = False, dark
        lost = list(self.jobs.values())
        self.jobs.clear()
        return [] if dark else lost

    def is_cold(self, now: float) -> bool:
        """Return whether it is still cold: it then crashes far above its cold rate."""
        return now < self.cold_until

    def _crashes_when_cold(self, now: float) -> bool:
        rate = self.service.cold_rate_per_s
        if not rate or not self.is_cold(now):
            return False
        self.cold_arrivals.append(now)
        while self.cold_arrivals[0] <= now - 1.0:
            self.cold_arrivals.popleft()
        self.worst_cold_second = max(self.worst_cold_second, len(self.cold_arrivals))
        return len(self.cold_arrivals) > COLD_CRASH_FACTOR * rate

    # Model replicas -----------------------------------------------------------

    def _take_prompt(self, job: Job, now: float) -> None:
        request = job.request
        if not self.engine.admits(request.prompt_tokens):
            self._reject(job, 503)
            return
        done = int(job.call.headers.get(NAMES.resume_after, "0") or "0")
        every = self.service.engine.tokens_per_event
        job.sequence = Sequence(
            key=job.key,
            priority=int(job.call.headers.get(NAMES.priority, "5")),
            parts=request.parts,
            prompt_tokens=request.prompt_tokens + done * every,
            answer_tokens=max(1, (request.events - done) * every),
            arrived_at=now,
        )
        job.after_event = done
        self.jobs[job.key] = job
        self.engine.submit(job.sequence, now)
        self._schedule()

    def _schedule(self) -> None:
        at = self.engine.next_at
        self.scheduler.at(at, lambda: self._on_step_end(at))

    def _on_step_end(self, at: float) -> None:
        if not self.up or self.engine.next_at != at:
            return
        for sequence in self.engine.finish_step():
            job = self.jobs.get(sequence.key)
            if job is not None:
                self._deliver_events(job, at)
        if self.engine.next_at < float("inf"):
            self._schedule()

    def _deliver_events(self, job: Job, now: float) -> None:
        sequence = job.sequence
        call_id = job.call.call_id
        if job.last_delivered_at < 0:
            job.deliver(ev.HttpResponseStarted(call_id, 200, self._headers(job)))
        elif not sequence.finished and now - job.last_delivered_at < CHUNK_INTERVAL_S:
            return
        if sequence.events > job.delivered_events:
            job.last_delivered_at = now
            job.delivered_events = sequence.events
            number = job.after_event + sequence.events
            job.deliver(ev.HttpBodyChunk(call_id, f"id: {number}\ndata: x\n\n".encode()))
        if sequence.finished:
            del self.jobs[job.key]
            job.deliver(ev.HttpResponseCompleted(call_id))

    # Application replicas -----------------------------------------------------

    def _take_work(self, job: Job) -> None:
        if self.running >= self.service.slots:
            if len(self.queue) >= self.service.queue:
                self._reject(job, 503)
                return
            self.jobs[job.key] = job
            self.queue.append(job)
            return
        self.jobs[job.key] = job
        self._start_work(job)

    def _start_work(self, job: Job) -> None:
        self.running += 1
        self.scheduler.after(job.request.work_s * self.slowness, lambda: self._finish_work(job))

    def _finish_work(self, job: Job) -> None:
        if not self.up:
            return
        self.running -= 1
        if self.jobs.pop(job.key, None) is not None:
            self._answer(job, 200, self._headers(job), b"done")
        if self.queue:
            self._start_work(self.queue.popleft())

    # Answers ------------------------------------------------------------------

    def _reject(self, job: Job, status: int) -> None:
        self._answer(job, status, {NAMES.not_executed: "1"}, b"")

    def _answer(self, job: Job, status: int, headers: dict[str, str], body: bytes) -> None:
        call_id = job.call.call_id
        headers = {**headers, NAMES.request_id: job.call.headers[NAMES.request_id]}
        if not job.call.streaming:
            job.deliver(ev.HttpAnswered(call_id, status, headers, body))
            return
        job.deliver(ev.HttpResponseStarted(call_id, status, headers))
        job.deliver(ev.HttpResponseCompleted(call_id))

    def _headers(self, job: Job) -> dict[str, str]:
        headers = {
            NAMES.request_id: job.call.headers[NAMES.request_id],
            NAMES.signature: self.replica_id,
        }
        if self.service.tells_load:
            headers[LOAD_HEADER] = self._load()
        return headers

    def _load(self) -> str:
        if self.engine is None:
            return f"{self.running},{len(self.queue)},{self.service.slots}"
        return f"{self.engine.running},{len(self.engine.waiting)},{self.service.slots}"
