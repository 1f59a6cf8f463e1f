"""A stand-in operator: sends orders again until they are answered, and watches the fronts."""

import hashlib

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import ProcessContext
from rooklug_lab.standins.http import JSON_HEADERS, json_object, respond, respond_error
from rooklug_lab.standins.journals import journal_body
from rooklug_lab.standins.records import ChangeRecord, FrontVersion, OperatorJournal, Outcome
from rooklug_lab.standins.settings import OperatorSettings, OperatorStep

ORDER_DEADLINE_S = 5.0
WATCH_DEADLINE_S = 1.0
AGAIN_AFTER_S = 0.5
NO_ANSWER = -1
_STEP = "step/"
_AGAIN = "again/"
_WATCH = "watch"
_ZONE_KINDS = ("empty", "restore")


class Operator(BaseComponent):
    """Works down its steps, each at its time, and never takes silence for a refusal."""

    name = "operator"
    http_prefixes = ("/lab/",)

    def __init__(
        self,
        settings: OperatorSettings,
        context: ProcessContext,
        journal: OperatorJournal | None = None,
    ) -> None:
        self.settings = settings
        self.context = context
        self.journal = journal or OperatorJournal(settings.operator_id)
        self._steps: dict[int, OperatorStep] = dict(enumerate(settings.steps))
        self._records: dict[int, ChangeRecord] = {}
        self._calls: dict[int, int] = {}
        self._watches: dict[int, str] = {}
        self._seen: dict[str, int] = {}

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        if isinstance(event, ev.Started):
            return self._begin()
        if isinstance(event, ev.TimerFired):
            return self._timer(event.name, now)
        if isinstance(event, ev.HttpAnswered | ev.HttpFailed):
            return self._ended(event, now)
        if isinstance(event, ev.HttpRequestArrived):
            return self._lab(event, now)
        if isinstance(event, ev.StopRequested):
            return [fx.StopProcess(0, "asked to stop")]
        return []

    def order(self, step: OperatorStep, now: float) -> list[fx.Effect]:
        """Send one more order now."""
        number = len(self._steps)
        self._steps[number] = step
        return self._first_send(number, now)

    def _begin(self) -> list[fx.Effect]:
        effects: list[fx.Effect] = [
            fx.StartTimer(_STEP + str(number), step.at_s) for number, step in self._steps.items()
        ]
        if self.settings.watch_interval_s > 0:
            effects.append(fx.StartTimer(_WATCH, self.settings.watch_interval_s))
        return effects

    def _timer(self, name: str, now: float) -> list[fx.Effect]:
        if name == _WATCH:
            return self._watch()
        if name.startswith(_STEP):
            return self._first_send(int(name.removeprefix(_STEP)), now)
        return [self._send(int(name.removeprefix(_AGAIN)))]

    # -- orders -------------------------------------------------------------------

    def _first_send(self, number: int, now: float) -> list[fx.Effect]:
        step = self._steps[number]
        digest = hashlib.sha256(step.document).hexdigest() if step.document else ""
        record = ChangeRecord(step.kind, step.zone, step.version, digest, now)
        self._records[number] = record
        self.journal.changes.append(record)
        return [self._send(number)]

    def _send(self, number: int) -> fx.HttpCall:
        step = self._steps[number]
        self._records[number].sends += 1
        call_id = self.context.identifiers.next()
        self._calls[call_id] = number
        address = self.context.random.choice(self.settings.front_addresses)
        method, path = _method_and_path(step)
        headers = dict(JSON_HEADERS)
        if step.kind in _ZONE_KINDS:
            headers["x-rooklug-operation-id"] = f"{self.settings.operator_id}-{number}"
        return fx.HttpCall(call_id, address, method, path, step.document, ORDER_DEADLINE_S, headers)

    def _ended(self, event: ev.HttpAnswered | ev.HttpFailed, now: float) -> list[fx.Effect]:
        if event.call_id in self._watches:
            return self._watched(event, now)
        number = self._calls.pop(event.call_id, None)
        if number is None:
            return []
        record = self._records[number]
        if isinstance(event, ev.HttpFailed):
            record.detail = event.reason
            return self._again(number, now)
        record.last_status = event.status
        if event.status == 200:
            record.outcome = Outcome.DONE
            record.acknowledged_s = now
            return []
        record.detail = event.body.decode(errors="replace")[:500]
        if event.status in (400, 404, 409):
            record.outcome = Outcome.FAILED
            return []
        return self._again(number, now)

    def _again(self, number: int, now: float) -> list[fx.Effect]:
        record = self._records[number]
        if now - record.started_s > self.settings.give_up_s:
            record.outcome = Outcome.UNKNOWN
            return []
        wait_s = AGAIN_AFTER_S * (1 + self.context.random.random())
        return [fx.StartTimer(_AGAIN + str(number), wait_s)]

    # -- watching the configuration -----------------------------------------------

    def _watch(self) -> list[fx.Effect]:
        effects: list[fx.Effect] = [fx.StartTimer(_WATCH, self.settings.watch_interval_s)]
        asked = set(self._watches.values())
        for address in self.settings.front_addresses:
            if address in asked:
                continue
            call_id = self.context.identifiers.next()
            self._watches[call_id] = address
            effects.append(
                fx.HttpCall(call_id, address, "GET", "/v1/config/local", b"", WATCH_DEADLINE_S)
            )
        return effects

    def _watched(self, event: ev.HttpAnswered | ev.HttpFailed, now: float) -> list[fx.Effect]:
        address = self._watches.pop(event.call_id)
        version = NO_ANSWER
        if isinstance(event, ev.HttpAnswered) and event.status == 200:
            text = event.headers.get("x-rooklug-version", "0")
            version = int(text) if text.isdigit() else 0
        if self._seen.get(address) != version:
            self._seen[address] = version
            self.journal.versions.append(FrontVersion(now, address, version))
        return []

    # -- control by tests ---------------------------------------------------------

    def _lab(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        if event.path == "/lab/journal":
            return [respond(event.request_id, 200, journal_body(self.journal))]
        if event.path != "/lab/order":
            return [respond_error(event.request_id, 404, "unknown_path")]
        body = json_object(event.body) or {}
        step = OperatorStep(
            at_s=0.0,
            kind=str(body["kind"]),
            version=int(body.get("version", 0)),
            document=str(body.get("document", "")).encode(),
            zone=str(body.get("zone", "")),
        )
        accepted = respond(event.request_id, 200, {"change": len(self.journal.changes)})
        return [accepted, *self.order(step, now)]


def _method_and_path(step: OperatorStep) -> tuple[str, str]:
    if step.kind == "put":
        return "PUT", f"/v1/config/{step.version}"
    if step.kind == "patch":
        return "PATCH", f"/v1/config/{step.version}?base={step.version - 1}"
    return "POST", f"/v1/zones/{step.zone}/{step.kind}"
