"""A stand-in for a model replica: reports, loads and unloads, and streams of pieces.

It keeps a bounded cache of prompt parts (its KV cache), is slower while cold, and answers
503 when as many requests run as it can hold. ``/lab/`` paths switch faults on and off.
"""

import math
from collections.abc import Iterable
from typing import Any

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug_lab.standins.generation import (
    ReplicaFaults,
    RunningGeneration,
    end_line,
    piece_line,
)
from rooklug_lab.standins.http import (
    STREAM_HEADERS,
    json_object,
    repeat_request_id,
    respond,
    respond_error,
)
from rooklug_lab.standins.journals import journal_body
from rooklug_lab.standins.loaded_models import LoadedModels
from rooklug_lab.standins.orders import (
    NO_ROOM,
    STALE_TOKEN,
    UNLOAD,
    Order,
    judge_order,
    order_record,
    read_order,
)
from rooklug_lab.standins.prompt_cache import PromptCache
from rooklug_lab.standins.records import Generation, GenerationOutcome, ReplicaJournal
from rooklug_lab.standins.replica_report import ReplicaState, replica_report, total_concurrency
from rooklug_lab.standins.settings import ReplicaSettings

PROMPT_TOKENS_A_LOAD_TOKEN = 8
BASE_LATENCY_S = 0.005
_LOAD = "load/"
_PACE = "pace/"
_RETURN = "return"


class ModelReplica(BaseComponent):
    """One replica; a restart (``/lab/restart``) makes a new, cold incarnation."""

    name = "model-replica"
    http_prefixes = ("/api/", "/lab/")

    def __init__(
        self,
        settings: ReplicaSettings,
        context: ProcessContext,
        journal: ReplicaJournal | None = None,
    ) -> None:
        self.settings = settings
        self.context = context
        self.journal = journal or ReplicaJournal(settings.replica_id)
        self.faults = ReplicaFaults()
        self._restarts = 0
        self._runs = 0
        self._reset()

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        if isinstance(event, ev.Started):
            return self._start(now)
        if isinstance(event, ev.HttpRequestArrived):
            return self._arrived(event, now)
        if isinstance(event, ev.HttpRequestClosed):
            return self._stop_generation(event.request_id, GenerationOutcome.CANCELLED, now)
        if isinstance(event, ev.TimerFired):
            return self._timer(event.name, now)
        if isinstance(event, ev.StopRequested):
            return [fx.StopProcess(0, "asked to stop")]
        return []

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return how many requests run."""
        return (
            MetricSample("lab_replica_running", len(self._running), "gauge", "requests running"),
        )

    @property
    def incarnation(self) -> str:
        """The current incarnation: the process's, with a count of restarts in it."""
        return f"{self.context.incarnation}.{self._restarts}"

    @property
    def cold(self) -> bool:
        """Whether this incarnation has yet to serve its first requests."""
        return self._served < self.settings.warm_requests

    def restart(self, now: float) -> list[fx.Effect]:
        """Lose everything in memory, as a crashed process that comes back does."""
        broken = self._break_all(now)
        self._restarts += 1
        self._reset()
        return broken + self._start(now)

    def crash(self, down_s: float, now: float) -> list[fx.Effect]:
        """Break all streams, be dark for ``down_s``, then come back cold."""
        broken = self._break_all(now)
        self._down = True
        return [*broken, fx.StartTimer(_RETURN, down_s)]

    def _reset(self) -> None:
        self.models = LoadedModels(self.settings)
        self._cache = PromptCache(self.settings.cached_parts_limit)
        self._running: dict[int, RunningGeneration] = {}
        self._served = 0
        self._down = False

    def _start(self, now: float) -> list[fx.Effect]:
        self.journal.starts.append((now, self.incarnation))
        for model in self.settings.initial_models:
            self.models.begin(model, now)
            self.models.finish(model, now)
        return []

    # -- requests ---------------------------------------------------------------

    def _arrived(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        if event.path.startswith("/lab/"):
            return self._lab(event, now)
        if self.faults.dark:
            return []
        if self._down:
            return [fx.HttpStreamAbort(event.request_id)]
        if event.path == "/api/report":
            return self._report(event, now)
        body = json_object(event.body)
        if body is None:
            return [respond_error(event.request_id, 400, "invalid", "not a JSON object")]
        if event.path == "/api/generate":
            return self._generate(event, body, now)
        if event.path in ("/api/load", "/api/unload"):
            return self._order(event, body, now)
        return [respond_error(event.request_id, 404, "unknown_path")]

    def _report(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        self.journal.probes += 1
        return [respond(event.request_id, 200, self.report(now))]

    def report(self, now: float) -> dict[str, Any]:
        """Return the body of ``GET /api/report``."""
        state = ReplicaState(self.incarnation, len(self._running), len(self._cache), self.cold)
        return replica_report(self.settings, self.models, state, now)

    # -- orders -----------------------------------------------------------------

    def _order(
        self, event: ev.HttpRequestArrived, body: dict[str, Any], now: float
    ) -> list[fx.Effect]:
        order = read_order(event.path.removeprefix("/api/"), body, self.settings)
        if order is None:
            return [respond_error(event.request_id, 400, "invalid", "unknown model or bad token")]
        verdict = judge_order(order, self.models, self.faults.refuse_stale_tokens)
        replica_id = self.settings.replica_id
        self.journal.orders.append(order_record(order, verdict, self.models, replica_id, now))
        if verdict == STALE_TOKEN:
            highest = list(self.models.highest_token)
            return [respond_error(event.request_id, 409, verdict, highest=highest)]
        if verdict == NO_ROOM:
            return [respond_error(event.request_id, 507, verdict)]
        accepted = respond(event.request_id, 202, {"accepted": True})
        return [accepted, *self._obey(order, now)]

    def _obey(self, order: Order, now: float) -> list[fx.Effect]:
        timer = _LOAD + order.model
        if order.kind == UNLOAD:
            self.models.drop(order.model)
            self._cache.forget(order.model)
            return [fx.CancelTimer(timer)]
        if self.models.holds(order.model):
            return []
        self.models.begin(order.model, now)
        if self.faults.stall_loads:
            return []
        return [fx.StartTimer(timer, self._load_s(order.model))]

    def _load_s(self, model: str) -> float:
        return self.settings.models[model].load_s * self.faults.slow_factor

    # -- generation -------------------------------------------------------------

    def _generate(
        self, event: ev.HttpRequestArrived, body: dict[str, Any], now: float
    ) -> list[fx.Effect]:
        model = str(body.get("model", ""))
        request_id = str(body.get("request_id", ""))
        if not self.models.is_loaded(model):
            self.journal.refused_not_loaded += 1
            return [repeat_request_id(event, respond_error(event.request_id, 503, "not_loaded"))]
        if len(self._running) >= total_concurrency(self.settings, self.models):
            self.journal.refused_busy += 1
            return [repeat_request_id(event, respond_error(event.request_id, 503, "busy"))]
        if not request_id:
            return [respond_error(event.request_id, 400, "invalid", "request_id is missing")]
        record = self._record(event, body, model, request_id, now)
        max_tokens = max(1, int(body.get("max_tokens", 1)))
        pieces = math.ceil(max_tokens / self.settings.tokens_a_piece)
        self._running[event.request_id] = RunningGeneration(event.request_id, record, pieces)
        wait = self._prefill_s(record)
        start = fx.HttpStreamStart(event.request_id, 200, dict(STREAM_HEADERS))
        return [
            repeat_request_id(event, start),
            fx.StartTimer(_PACE + str(event.request_id), wait),
        ]

    def _record(
        self,
        event: ev.HttpRequestArrived,
        body: dict[str, Any],
        model: str,
        request_id: str,
        now: float,
    ) -> Generation:
        self._runs += 1
        parts = [str(part) for part in body.get("prompt_parts", [])]
        record = Generation(
            request_id=request_id,
            route=event.headers.get("x-rooklug-route", ""),
            model=model,
            caller_region=event.headers.get("x-rooklug-region", ""),
            replica_id=self.settings.replica_id,
            incarnation=self.incarnation,
            region=self.settings.region,
            zone=self.settings.zone,
            run=self._runs,
            prompt_tokens=int(body.get("prompt_tokens", 0)),
            cached_share=self._cache.use(model, parts),
            started_s=now,
        )
        self.journal.generations.append(record)
        return record

    def _slowness(self) -> float:
        cold = self.settings.cold_factor if self.cold else 1.0
        return cold * self.faults.slow_factor

    def _prefill_s(self, record: Generation) -> float:
        rate = self.settings.models[record.model].tokens_per_s * PROMPT_TOKENS_A_LOAD_TOKEN
        tokens = record.prompt_tokens * (1.0 - record.cached_share)
        return (BASE_LATENCY_S + tokens / rate) * self._slowness()

    def _piece_s(self, record: Generation) -> float:
        profile = self.settings.models[record.model]
        sharing = max(1, len(self._running)) / profile.tokens_per_s
        return sharing * self.settings.tokens_a_piece * self._slowness()

    # -- timers -----------------------------------------------------------------

    def _timer(self, name: str, now: float) -> list[fx.Effect]:
        if name.startswith(_PACE):
            return self._next_piece(int(name.removeprefix(_PACE)), now)
        if name.startswith(_LOAD):
            self.models.finish(name.removeprefix(_LOAD), now)
        if name == _RETURN:
            return self.restart(now)
        return []

    def _next_piece(self, http_request_id: int, now: float) -> list[fx.Effect]:
        stream = self._running.get(http_request_id)
        if stream is None or self.faults.dark:
            return []
        if stream.record.pieces == self.faults.break_after:
            broken = self._stop_generation(http_request_id, GenerationOutcome.BROKEN, now)
            return [*broken, fx.HttpStreamAbort(http_request_id)]
        if stream.next_index >= stream.total_pieces:
            return self._end(stream, now)
        if stream.record.pieces == 0:
            stream.record.first_piece_s = now
        line = piece_line(stream, self.faults)
        return [
            fx.HttpStreamChunk(http_request_id, line),
            fx.StartTimer(_PACE + str(http_request_id), self._piece_s(stream.record)),
        ]

    def _end(self, stream: RunningGeneration, now: float) -> list[fx.Effect]:
        self._served += 1
        line = end_line(stream, self.faults)
        self._stop_generation(stream.http_request_id, GenerationOutcome.DONE, now)
        return [
            fx.HttpStreamChunk(stream.http_request_id, line),
            fx.HttpStreamEnd(stream.http_request_id),
        ]

    def _stop_generation(
        self, http_request_id: int, outcome: GenerationOutcome, now: float
    ) -> list[fx.Effect]:
        stream = self._running.pop(http_request_id, None)
        if stream is None:
            return []
        stream.record.outcome = outcome
        stream.record.ended_s = now
        return [fx.CancelTimer(_PACE + str(http_request_id))]

    def _break_all(self, now: float) -> list[fx.Effect]:
        effects: list[fx.Effect] = []
        for http_request_id in list(self._running):
            effects += self._stop_generation(http_request_id, GenerationOutcome.BROKEN, now)
            effects.append(fx.HttpStreamAbort(http_request_id))
        return effects

    # -- control by tests -------------------------------------------------------

    def set_faults(self, faults: ReplicaFaults, now: float) -> list[fx.Effect]:
        """Exchange the faults; loads that stalled begin anew, streams gone dark break."""
        before = self.faults
        self.faults = faults
        effects: list[fx.Effect] = []
        if before.dark and not faults.dark:
            effects += self._break_all(now)
        if before.stall_loads and not faults.stall_loads:
            for model in self.models.loading():
                effects.append(fx.StartTimer(_LOAD + model, self._load_s(model)))
        return effects

    def _lab(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        if event.path == "/lab/journal":
            return [respond(event.request_id, 200, journal_body(self.journal))]
        body = json_object(event.body) or {}
        done = respond(event.request_id, 200, {"done": True})
        if event.path == "/lab/faults":
            faults = attrs.evolve(ReplicaFaults(), **body)
            return [done, *self.set_faults(faults, now)]
        if event.path == "/lab/restart":
            return [done, *self.crash(float(body.get("down_s", 0.0)), now)]
        return [respond_error(event.request_id, 404, "unknown_path")]
