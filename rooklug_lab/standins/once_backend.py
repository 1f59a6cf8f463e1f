"""A stand-in for a once-only back end: it runs a request when it arrives and counts.

It doesn't know keys: what arrives twice runs twice, and the journal shows it.
"""

from typing import Any

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import ProcessContext
from rooklug_lab.standins.http import json_object, respond, respond_error
from rooklug_lab.standins.records import BackendJournal, Execution
from rooklug_lab.standins.settings import OnceBackendSettings

_ANSWER = "answer/"


@attrs.define
class BackendFaults:
    """Shares (0..1) of answers that are lost, late by ``late_s``, or crossed with another.

    ``dark`` takes requests and neither runs nor answers them.
    """

    lose_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 5.0
    cross_share: float = 0.0
    dark: bool = False


@attrs.frozen
class PendingAnswer:
    """An answer that waits for its time."""

    request_id: str
    key: str
    result: dict[str, Any]
    lost: bool


class OnceBackend(BaseComponent):
    """One back end replica."""

    name = "once-backend"
    http_prefixes = ("/api/", "/lab/")

    def __init__(
        self,
        settings: OnceBackendSettings,
        context: ProcessContext,
        journal: BackendJournal | None = None,
    ) -> None:
        self.settings = settings
        self.context = context
        self.journal = journal or BackendJournal(settings.replica_id)
        self.faults = BackendFaults()
        self._pending: dict[int, PendingAnswer] = {}
        self._last: PendingAnswer | None = None

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        if isinstance(event, ev.HttpRequestArrived):
            return self._arrived(event, now)
        if isinstance(event, ev.HttpRequestClosed):
            self._pending.pop(event.request_id, None)
            return [fx.CancelTimer(_ANSWER + str(event.request_id))]
        if isinstance(event, ev.TimerFired):
            return self._answer(int(event.name.removeprefix(_ANSWER)))
        if isinstance(event, ev.StopRequested):
            return [fx.StopProcess(0, "asked to stop")]
        return []

    def _arrived(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        if event.path.startswith("/lab/"):
            return self._lab(event)
        if self.faults.dark:
            return []
        body = json_object(event.body)
        if event.path != "/api/once" or body is None or not isinstance(body.get("key"), str):
            return [respond_error(event.request_id, 400, "invalid")]
        return self._execute(event, body["key"], now)

    def _execute(self, event: ev.HttpRequestArrived, key: str, now: float) -> list[fx.Effect]:
        request_id = event.headers.get("x-rooklug-request-id", "")
        self.journal.executions.append(
            Execution(now, key, request_id, self.settings.replica_id, self.settings.region)
        )
        number = len(self.journal.executions)
        result = {"key": key, "backend_id": self.settings.replica_id, "number": number}
        lost = self._draw(self.faults.lose_share)
        answer = PendingAnswer(request_id, key, result, lost)
        shown = self._cross(answer)
        self._last = answer
        self._pending[event.request_id] = shown
        late_s = self.faults.late_s if self._draw(self.faults.late_share) else 0.0
        wait = self.settings.service_s + late_s
        return [fx.StartTimer(_ANSWER + str(event.request_id), wait)]

    def _cross(self, answer: PendingAnswer) -> PendingAnswer:
        if self._last is None or not self._draw(self.faults.cross_share):
            return answer
        return self._last

    def _draw(self, share: float) -> bool:
        return share > 0.0 and self.context.random.random() < share

    def _answer(self, http_request_id: int) -> list[fx.Effect]:
        answer = self._pending.pop(http_request_id, None)
        if answer is None:
            return []
        if answer.lost:
            return [fx.HttpStreamAbort(http_request_id)]
        body = {"request_id": answer.request_id, "key": answer.key, "result": answer.result}
        return [respond(http_request_id, 200, body)]

    def _lab(self, event: ev.HttpRequestArrived) -> list[fx.Effect]:
        if event.path == "/lab/journal":
            return [respond(event.request_id, 200, attrs.asdict(self.journal))]
        if event.path == "/lab/faults":
            body = json_object(event.body) or {}
            self.faults = attrs.evolve(BackendFaults(), **body)
            return [respond(event.request_id, 200, {"done": True})]
        return [respond_error(event.request_id, 404, "unknown_path")]
