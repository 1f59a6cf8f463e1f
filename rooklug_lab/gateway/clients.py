"""Simulated clients and the simulated operator of a gateway deployment."""

import json
from collections.abc import Iterable

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug_lab.gateway.journal import Attempt, Journal, Order
from rooklug_lab.gateway.protocols import CHANGE_PATH, CONFIGURATION_PATH, NAMES, RESOLVE_PATH

HOST = "desk.example"
RESOLVE_TIMEOUT_S = 1.0
REQUEST_DEADLINE_S = 4.0
_RESOLVE_TIMER = "ask"
_NEXT_REQUEST_TIMER = "next"


class ClientStandIn:
    """Clients of one region: resolve front addresses, send requests, obey ``retry-after`` once.

    With ``immediate_retries`` above 0 they ignore ``retry-after``: each first attempt that isn't
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
        self.immediate_retries = 0
        self._region = region
        self._zone = zone
        self._directories = directories
        self._context = context
        self._journal = journal
        self._addresses: list[str] = []
        self._resolve_call_id = 0
        self._in_flight: dict[int, Attempt] = {}
        self._retry_after: dict[str, str] = {}
        self._sent_count = 0

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return no samples; stand-ins have no metrics."""
        return ()

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Advance directory look-ups, request timers and the attempts that are under way."""
        match event:
            case ev.Started():
                return [*self._resolve_addresses(), fx.StartTimer(_NEXT_REQUEST_TIMER, 0.5)]
            case ev.TimerFired():
                return self._on_timer(event.name, now)
            case ev.HttpAnswered() if event.call_id == self._resolve_call_id:
                return self._on_directory_answered(event)
            case ev.HttpFailed() if event.call_id == self._resolve_call_id:
                return [fx.StartTimer(_RESOLVE_TIMER, 0.1)]
            case ev.HttpResponseStarted():
                attempt = self._in_flight[event.call_id]
                attempt.status = event.status
                attempt.signature = event.headers.get(NAMES.signature, "")
                self._retry_after[attempt.request_id] = event.headers.get("retry-after", "")
            case ev.HttpBodyChunk():
                self._in_flight[event.call_id].body += event.data
            case ev.HttpResponseCompleted():
                return self._on_attempt_ended(self._in_flight.pop(event.call_id), True, now)
            case ev.HttpFailed():
                return self._on_attempt_ended(self._in_flight.pop(event.call_id), False, now)
        return []

    def _resolve_addresses(self) -> list[fx.Effect]:
        self._resolve_call_id = self._context.identifiers.next()
        address = self._context.random.choice(self._directories)
        path = f"{RESOLVE_PATH}?host={HOST}&region={self._region}&zone={self._zone}"
        call = fx.HttpCall(self._resolve_call_id, address, "GET", path, b"", RESOLVE_TIMEOUT_S)
        return [call]

    def _on_directory_answered(self, event: ev.HttpAnswered) -> list[fx.Effect]:
        if event.status != 200:
            return [fx.StartTimer(_RESOLVE_TIMER, 0.1)]
        answer = json.loads(event.body)
        self._addresses = answer["addresses"]
        return [fx.StartTimer(_RESOLVE_TIMER, answer["ttl_s"])]

    def _on_timer(self, name: str, now: float) -> list[fx.Effect]:
        if name == _RESOLVE_TIMER:
            return self._resolve_addresses()
        if name != _NEXT_REQUEST_TIMER:
            return self._send(name, now)
        pause_s = self._context.random.expovariate(self.rate_per_s)
        path = self._context.random.choice(self.paths)
        return [fx.StartTimer(_NEXT_REQUEST_TIMER, pause_s), *self._send(path, now)]

    def _send(self, path: str, now: float) -> list[fx.Effect]:
        if not self._addresses:
            return []
        self._sent_count += 1
        request_id = f"{self._region}-{self._sent_count}"
        call_id = self._context.identifiers.next()
        attempt = Attempt(request_id, self._region, path, path.startswith("/s/"), now)
        self._in_flight[call_id] = attempt
        self._journal.attempts.append(attempt)
        headers = {
            "host": HOST,
            NAMES.request_id: request_id,
            NAMES.deadline_ms: str(int(REQUEST_DEADLINE_S * 1000)),
        }
        if attempt.is_stream:
            headers[NAMES.prompt_parts] = f"system:2000,doc{self._sent_count % 20}:3000,own:50"
        address = self._context.random.choice(self._addresses)
        call = fx.HttpCall(
            call_id,
            address,
            "POST",
            path,
            b"body",
            REQUEST_DEADLINE_S,
            headers=headers,
            streaming=True,
        )
        return [call]

    def _on_attempt_ended(self, attempt: Attempt, complete: bool, now: float) -> list[fx.Effect]:
        attempt.complete = complete
        attempt.ended_at = now
        retry_after = self._retry_after.pop(attempt.request_id, "")
        if self.immediate_retries and not attempt.served and "?" not in attempt.path:
            retry_path = f"{attempt.path}?again={attempt.request_id}"
            return [e for _ in range(self.immediate_retries) for e in self._send(retry_path, now)]
        if attempt.status == 503 and retry_after and "?" not in attempt.path:
            return [fx.StartTimer(f"{attempt.path}?again={attempt.request_id}", float(retry_after))]
        return []


@attrs.define
class _PendingOrder:
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
        self._in_flight: dict[int, _PendingOrder] = {}
        self._read_call_id = 0

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return no samples; stand-ins have no metrics."""
        return ()

    def change(self, order: Order, base: int, is_patch: bool, now: float) -> list[fx.Effect]:
        """Submit the order's configuration as a change based on version ``base``."""
        query = f"version={order.version}&base={base}&patch={int(is_patch)}"
        return self._submit(_PendingOrder(order, f"{CHANGE_PATH}?{query}", order.document), now)

    def order_zone(self, order: Order, now: float) -> list[fx.Effect]:
        """Send an order that drains a zone ("empty") or ends the drain ("restore")."""
        return self._submit(_PendingOrder(order, f"/zone/{order.zone}/{order.kind}", b""), now)

    def read(self) -> list[fx.Effect]:
        """Read the current configuration; it is asked for again until a core returns it."""
        self._read_call_id = self._context.identifiers.next()
        address = self._context.random.choice(self.cores)
        return [fx.HttpCall(self._read_call_id, address, "GET", CONFIGURATION_PATH, b"", 1.0)]

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Record answers, and retry calls that failed once their retry timer fires."""
        if isinstance(event, ev.TimerFired):
            pending = self._in_flight.pop(int(event.name), None)
            return self._send(pending) if pending else self.read()
        if (
            isinstance(event, ev.HttpAnswered | ev.HttpFailed)
            and event.call_id == self._read_call_id
        ):
            if isinstance(event, ev.HttpAnswered) and event.status == 200:
                self._journal.read_back = event.body
                return []
            return [fx.StartTimer("0", 0.3)]
        if isinstance(event, ev.HttpAnswered):
            return self._on_order_answered(event, now)
        if isinstance(event, ev.HttpFailed):
            return [fx.StartTimer(str(event.call_id), 0.2)]
        return []

    def _submit(self, pending: _PendingOrder, now: float) -> list[fx.Effect]:
        pending.order.sent_at = now
        self._journal.orders.append(pending.order)
        return self._send(pending)

    def _send(self, pending: _PendingOrder) -> list[fx.Effect]:
        call_id = self._context.identifiers.next()
        self._in_flight[call_id] = pending
        address = self._context.random.choice(self.cores)
        return [fx.HttpCall(call_id, address, "POST", pending.target, pending.body, 1.0)]

    def _on_order_answered(self, event: ev.HttpAnswered, now: float) -> list[fx.Effect]:
        if event.status >= 500:
            return [fx.StartTimer(str(event.call_id), 0.2)]
        order = self._in_flight.pop(event.call_id).order
        if event.status == 200:
            order.acknowledged_at = now
        else:
            order.refused = True
        return []
