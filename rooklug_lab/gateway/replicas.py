"""Simulated replicas, and the simulated platform that lists them."""

import json
from collections.abc import Callable, Iterable
from enum import Enum
from itertools import cycle

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug_lab.gateway.journal import Arrival, Journal, LeavingReplica, Run
from rooklug_lab.gateway.protocols import NAMES
from rooklug_lab.sim.process import SimulatedProcess

ENDED_LISTED_S = 3.0
"""How long a stopped replica stays listed, even beside its successor."""
LIST_LAG_S = 0.8
EVENT_COUNT = 12
REJECTION_STATUSES = (503, 421, 429)
FIRST_EVENT_S = 0.15
EVENT_INTERVAL_S = 0.1
RESPONSE_S = 0.03


class Conduct(Enum):
    """How a replica treats requests, regardless of the health it reports."""

    SOUND = "answers"
    FAILS = "runs a request and answers with a failure"
    REJECTS = "rejects every request before it runs"
    SILENT = "takes a request and never says anything"
    REPEATS_REJECTIONS = "rejects, and sends the rejection again in place of the next answer"


@attrs.define(eq=False)
class ReplicaEntry:
    """One replica as the platform knows it; ``cold_s`` is the length of its slow start."""

    name: str
    address: str
    service: str
    zone: str
    region: str
    slots: int
    process: SimulatedProcess | None = None
    cold_s: float = 0.0
    leaving: bool = False
    cold_until: float = 0.0
    conduct: Conduct = Conduct.SOUND

    @property
    def replica_id(self) -> str:
        """The replica's id, which changes with each restart of its process."""
        return f"{self.name}-{self.process.generation}"

    def turn_cold(self, now: float) -> None:
        """Begin a slow start of ``cold_s`` seconds."""
        self.cold_until = now + self.cold_s


class ReplicaStandIn:
    """Executes one request per slot: with a short response, or a stream of numbered events."""

    head_first_paths: tuple[str, ...] = ()

    def __init__(self, entry: ReplicaEntry, context: ProcessContext, journal: Journal) -> None:
        self._entry = entry
        self._replica_id = context.incarnation
        self._journal = journal
        self._running: dict[str, tuple[int, int, str]] = {}
        self._late_rejections: dict[str, fx.HttpRespond] = {}
        self._rejection_statuses = cycle(REJECTION_STATUSES)

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return no samples; stand-ins have no metrics."""
        return ()

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Accept or reject a new request, or send the next part of a response."""
        if isinstance(event, ev.HttpRequestArrived):
            return self._on_request_arrived(event, now)
        if isinstance(event, ev.HttpRequestClosed):
            self._running = {k: v for k, v in self._running.items() if v[0] != event.request_id}
        if isinstance(event, ev.TimerFired):
            return self._continue_response(event.name)
        return []

    def _on_request_arrived(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        request_id = event.headers[NAMES.request_id]
        headers = {NAMES.request_id: request_id}
        self._journal.arrivals.append(Arrival(request_id, self._entry.service, now))
        if event.headers.get(NAMES.expected_replica, self._replica_id) != self._replica_id:
            return [fx.HttpRespond(event.request_id, 421, b"", headers)]
        rejects = self._entry.conduct is Conduct.REJECTS
        if rejects or len(self._running) >= self._entry.slots:
            headers[NAMES.not_executed] = "1"
            return [fx.HttpRespond(event.request_id, 503, b"", headers)]
        late = self._late_rejections.pop(event.remote_address, None)
        if late is None and self._entry.conduct is Conduct.REPEATS_REJECTIONS:
            return [self._reject_to_repeat(event, headers)]
        accepted = self._accept(event, request_id, headers, now)
        return (
            accepted
            if late is None
            else [attrs.evolve(late, request_id=event.request_id), *accepted]
        )

    def _reject_to_repeat(
        self, event: ev.HttpRequestArrived, headers: dict[str, str]
    ) -> fx.HttpRespond:
        """Reject a request, with each promise in turn, and keep the response for a repetition."""
        headers[NAMES.not_executed] = "1"
        status = next(self._rejection_statuses)
        rejection = fx.HttpRespond(event.request_id, status, b"", headers)
        self._late_rejections[event.remote_address] = rejection
        return rejection

    def _accept(
        self, event: ev.HttpRequestArrived, request_id: str, headers: dict[str, str], now: float
    ) -> list[fx.Effect]:
        cold = now < self._entry.cold_until
        run = Run(request_id, self._replica_id, self._entry.zone, now, cold, self._entry.region)
        self._journal.runs.append(run)
        if self._entry.conduct is Conduct.FAILS:
            headers[NAMES.signature] = self._replica_id
            return [fx.HttpRespond(event.request_id, 500, b"failed", headers)]
        if self._entry.conduct is Conduct.SILENT:
            return []
        is_stream = event.path.startswith("/s/")
        after = int(event.headers.get(NAMES.resume_after, "0") or "0")
        self._running[request_id] = (event.request_id, after, "stream" if is_stream else "once")
        return [fx.StartTimer(request_id, FIRST_EVENT_S if is_stream else RESPONSE_S)]

    def _continue_response(self, request_id: str) -> list[fx.Effect]:
        known = self._running.get(request_id)
        if known is None:
            return []
        http_id, sent, kind = known
        headers = {NAMES.request_id: request_id, NAMES.signature: self._replica_id}
        if kind == "once":
            del self._running[request_id]
            body = f"{request_id}@{self._replica_id}".encode()
            return [fx.HttpRespond(http_id, 200, body, headers)]
        effects: list[fx.Effect] = []
        if kind == "stream":
            effects.append(fx.HttpStreamStart(http_id, 200, headers))
        number = sent + 1
        effects.append(fx.HttpStreamChunk(http_id, stream_event(request_id, number)))
        if number == EVENT_COUNT:
            del self._running[request_id]
            return [*effects, fx.HttpStreamEnd(http_id)]
        self._running[request_id] = (http_id, number, "started")
        return [*effects, fx.StartTimer(request_id, EVENT_INTERVAL_S)]


def stream_event(request_id: str, number: int) -> bytes:
    """Return one event of a request's stream."""
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()


def complete_stream(request_id: str) -> bytes:
    """Return all events of a request's stream."""
    return b"".join(stream_event(request_id, number) for number in range(1, EVENT_COUNT + 1))


class PlatformStandIn:
    """Lists replicas as they were ``LIST_LAG_S`` ago; records when one is first shown leaving."""

    head_first_paths: tuple[str, ...] = ()

    def __init__(
        self, entries: Callable[[], list[ReplicaEntry]], context: ProcessContext, journal: Journal
    ) -> None:
        self._entries = entries
        self._journal = journal
        self._history: list[tuple[float, list[dict]]] = []
        self._last_seen: dict[str, tuple[float, dict]] = {}
        self._shown_leaving: set[str] = set()
        self.calls = 0

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return no samples; stand-ins have no metrics."""
        return ()

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Record the present replicas every 0.1 s, and answer listing calls."""
        if isinstance(event, ev.Started):
            return self._record_listing(now)
        if isinstance(event, ev.TimerFired):
            return self._record_listing(now)
        if isinstance(event, ev.HttpRequestArrived):
            self.calls += 1
            return [fx.HttpRespond(event.request_id, 200, self._answer(now))]
        return []

    def _record_listing(self, now: float) -> list[fx.Effect]:
        self._history.append((now, self._listed_replicas(now)))
        old = now - LIST_LAG_S
        while len(self._history) > 1 and self._history[1][0] <= old:
            self._history.pop(0)
        for listed in self._history[0][1]:
            if listed["leaving"] and listed["replica_id"] not in self._shown_leaving:
                self._shown_leaving.add(listed["replica_id"])
                self._journal.leaving.append(LeavingReplica(listed["replica_id"], now))
        return [fx.StartTimer("note", 0.1)]

    def _listed_replicas(self, now: float) -> list[dict]:
        """Return the running replicas and those that stopped within ``ENDED_LISTED_S``."""
        for entry in self._entries():
            if entry.process.running:
                self._last_seen[entry.replica_id] = (now, _listed(entry, now))
        self._last_seen = {
            replica_id: (at, listed)
            for replica_id, (at, listed) in self._last_seen.items()
            if now - at <= ENDED_LISTED_S
        }
        return [listed for _, listed in self._last_seen.values()]

    def _answer(self, now: float) -> bytes:
        return json.dumps({"replicas": self._history[0][1]}).encode()


def _listed(entry: ReplicaEntry, now: float) -> dict:
    return {
        "replica_id": entry.replica_id,
        "address": entry.address,
        "kind": "gateway",
        "backend": entry.service,
        "region": entry.region,
        "zone": entry.zone,
        "resource": entry.service,
        "resource_units": 1.0,
        "leaving": entry.leaving,
        "slots": entry.slots,
        "cold_ms": int(max(entry.cold_until - now, 0.0) * 1000),
    }
