"""Simulated clients and the simulated operator of a gateway deployment."""

import json
from collections.abc import Iterable

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug_lab.gateway.journal import Attempt, Journal, Order
from rooklug_lab.gateway.protocols import CHANGE_PATH, CONFIGURATION_PATH, NAMES, WHERE_PATH

HOST = "desk.example"
ASK_TIMEOUT_S = 1.0
DEADLINE_S = 4.0
_ASK_TIMER = "ask"
_NEXT_TIMER = "next"


class ClientStandIn:
    """Clients of one region: resolve front addresses, send requests, obey ``retry-after`` once.

    With ``repeats_at_once`` above 0 they ignore ``retry-after``: each first attempt that isn't
    served is immediately sent again that many times.
    """

    head_first_paths: tuple[str, ...] = ()

    def __init__(
        self,
        region: str,
        zone: str,
        directories: list[str],
        rate_per_s: float,
        context: ProcessContext,
        journal: Journal,
    ) -> None:
        self.rate_per_s = rate_per_s
        self.paths = ["/s/1", "/once/1"]
        self.repeats_at_once = 0
        self._region = region
        self._zone = zone
        self._directories = directories
        self._context = context
        self._journal = journal
        self._addresses: list[str] = []
        self._asking = 0
        self._under_way: dict[int, Attempt] = {}
        self._retries: dict[str, str] = {}
        self._count = 0

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return no samples; stand-ins have no metrics."""
        return ()

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Advance directory look-ups, request timers and the attempts that are under way."""
        match event:
            case ev.Started():
                return [*self._ask(), fx.StartTimer(_NEXT_TIMER, 0.5)]
            case ev.TimerFired():
                return self._timer(event.name, now)
            case ev.HttpAnswered() if event.call_id == self._asking:
                return self._directory_answered(event)
            case ev.HttpFailed() if event.call_id == self._asking:
                return [fx.StartTimer(_ASK_TIMER, 0.1)]
            case ev.HttpResponseStarted():
                attempt = self._under_way[event.call_id]
                attempt.status = event.status
                attempt.signature = event.headers.get(NAMES.signature, "")
                self._retries[attempt.request_id] = event.headers.get("retry-after", "")
            case ev.HttpBodyChunk():
                self._under_way[event.call_id].body += event.data
            case ev.HttpResponseCompleted():
                return self._ended(self._under_way.pop(event.call_id), True, now)
            case ev.HttpFailed():
                return self._ended(self._under_way.pop(event.call_id), False, now)
        return []

    def _ask(self) -> list[fx.Effect]:
        self._asking = self._context.identifiers.next()
        address = self._context.random.choice(self._directories)
        path = f"{WHERE_PATH}?host={HOST}&region={self._region}&zone={self._zone}"
        call = fx.HttpCall(self._asking, address, "GET", path, b"", ASK_TIMEOUT_S)
        return [call]

    def _directory_answered(self, event: ev.HttpAnswered) -> list[fx.Effect]:
        if event.status != 200:
            return [fx.StartTimer(_ASK_TIMER, 0.1)]
        answer = json.loads(event.body)
        self._addresses = answer["addresses"]
        return [fx.StartTimer(_ASK_TIMER, answer["ttl_s"])]

    def _timer(self, name: str, now: float) -> list[fx.Effect]:
        if name == _ASK_TIMER:
            return self._ask()
        if name != _NEXT_TIMER:
            return self._send(name, now)
        pause_s = self._context.random.expovariate(self.rate_per_s)
        path = self._context.random.choice(self.paths)
        return [fx.StartTimer(_NEXT_TIMER, pause_s), *self._send(path, now)]

    def _send(self, path: str, now: float) -> list[fx.Effect]:
        if not self._addresses:
            return []
        self._count += 1
        request_id = f"{self._region}-{self._count}"
        call_id = self._context.identifiers.next()
        attempt = Attempt(request_id, self._region, path, path.startswith("/s/"), now)
        self._under_way[call_id] = attempt
        self._journal.attempts.append(attempt)
        headers = {
            "host": HOST,
            NAMES.request_id: request_id,
            NAMES.deadline_ms: str(int(DEADLINE_S * 1000)),
        }
        if attempt.is_stream:
            headers[NAMES.prompt_parts] = f"system:2000,doc{self._count % 20}:3000,own:50"
        address = self._context.random.choice(self._addresses)
        call = fx.HttpCall(
            call_id, address, "POST", path, b"body", DEADLINE_S, headers=headers, streaming=True
        )
        return [call]

    def _ended(self, attempt: Attempt, complete: bool, now: float) -> list[fx.Effect]:
        attempt.complete = complete
        attempt.ended_at = now
        retry_after = self._retries.pop(attempt.request_id, "")
        if self.repeats_at_once and not attempt.served and "?" not in attempt.path:
            again = f"{attempt.path}?again={attempt.request_id}"
            return [e for _ in range(self.repeats_at_once) for e in self._send(again, now)]
        if attempt.status == 503 and retry_after and "?" not in attempt.path:
            return [fx.StartTimer(f"{attempt.path}?again={attempt.request_id}", float(retry_after))]
        return []


@attrs.define
class _Sending:
    order: Order
    target: str
    body: bytes


class OperatorStandIn:
    """Sends each order to random cores, with retries, until it is acknowledged or refused."""

    head_first_paths: tuple[str, ...] = ()

    def __init__(self, cores: list[str], context: ProcessContext, journal: Journal) -> None:
        self.cores = cores
        self._context = context
        self._journal = journal
        self._under_way: dict[int, _Sending] = {}
        self._reading = 0

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return no samples; stand-ins have no metrics."""
        return ()

    def change(self, order: Order, base: int, is_patch: bool, now: float) -> list[fx.Effect]:
        """Submit the order's configuration as a change based on version ``base``."""
        query = f"version={order.version}&base={base}&patch={int(is_patch)}"
        return self._begin(_Sending(order, f"{CHANGE_PATH}?{query}", order.document), now)

    def zone(self, order: Order, now: float) -> list[fx.Effect]:
        """Send an order that drains a zone ("empty") or ends the drain ("restore")."""
        return self._begin(_Sending(order, f"/zone/{order.zone}/{order.kind}", b""), now)

    def read(self) -> list[fx.Effect]:
        """Read the current configuration; it is asked for again until a core returns it."""
        self._reading = self._context.identifiers.next()
        address = self._context.random.choice(self.cores)
        return [fx.HttpCall(self._reading, address, "GET", CONFIGURATION_PATH, b"", 1.0)]

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Record answers, and retry calls that failed once their retry timer fires."""
        if isinstance(event, ev.TimerFired):
            sending = self._under_way.pop(int(event.name), None)
            return self._send(sending) if sending else self.read()
        if isinstance(event, ev.HttpAnswered | ev.HttpFailed) and event.call_id == self._reading:
            if isinstance(event, ev.HttpAnswered) and event.status == 200:
                self._journal.read_back = event.body
                return []
            return [fx.StartTimer("0", 0.3)]
        if isinstance(event, ev.HttpAnswered):
            return self._answered(event, now)
        if isinstance(event, ev.HttpFailed):
            return [fx.StartTimer(str(event.call_id), 0.2)]
        return []

    def _begin(self, sending: _Sending, now: float) -> list[fx.Effect]:
        sending.order.sent_at = now
        self._journal.orders.append(sending.order)
        return self._send(sending)

    def _send(self, sending: _Sending) -> list[fx.Effect]:
        call_id = self._context.identifiers.next()
        self._under_way[call_id] = sending
        address = self._context.random.choice(self.cores)
        return [fx.HttpCall(call_id, address, "POST", sending.target, sending.body, 1.0)]

    def _answered(self, event: ev.HttpAnswered, now: float) -> list[fx.Effect]:
        if event.status >= 500:
            return [fx.StartTimer(str(event.call_id), 0.2)]
        order = self._under_way.pop(event.call_id).order
        if event.status == 200:
            order.taken_at = now
        else:
            order.refused = True
        return []
