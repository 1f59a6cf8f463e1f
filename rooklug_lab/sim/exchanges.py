"""HTTP exchanges between simulated processes, with buffered and streamed responses."""

from collections.abc import Callable
from itertools import count
from random import Random
from urllib.parse import parse_qsl, urlsplit

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug_lab.sim.calls import CONNECTION_RESET, DEADLINE, REFUSED, TOO_LATE_TO_SEND
from rooklug_lab.sim.network import Network
from rooklug_lab.sim.process import SimulatedProcess
from rooklug_lab.sim.scheduler import Scheduler

CONNECT_TIMEOUT = "connect timeout"
FIRST_BYTE_DEADLINE = "first-byte deadline"
POOLED_SHARE = 0.5


@attrs.define(eq=False)
class Exchange:
    """One request and its response on one connection.

    ``last_to_client`` is the arrival time of the latest packet to the client, in seconds: later
    packets of the response must not overtake it. ``collected`` buffers the body of a response
    that isn't streamed.
    """

    client: SimulatedProcess
    client_generation: int
    server: SimulatedProcess
    server_generation: int
    effect: fx.HttpCall
    request_id: int
    client_open: bool = True
    server_open: bool = False
    response_started: bool = False
    last_to_client: float = 0.0
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    collected: list[bytes] = attrs.field(factory=list)


class HttpTransport:
    """Carries the HTTP effects of clients (``call``, ``cancel``) and of servers (``serve``).

    ``watch`` is called for each request whose ``not_after`` hasn't passed, before
    any connection is attempted.
    """

    def __init__(self, scheduler: Scheduler, network: Network, random: Random) -> None:
        self._scheduler = scheduler
        self._network = network
        self._random = random
        self._request_ids = count(1)
        self._by_request: dict[int, Exchange] = {}
        self._by_call: dict[tuple[str, int, int], Exchange] = {}
        self.by_address: dict[str, SimulatedProcess] = {}
        self.listeners: dict[str, str] = {}  # listener name by address, if it has one
        self.watch: Callable[[SimulatedProcess, fx.HttpCall], None] = lambda client, effect: None

    def call(self, client: SimulatedProcess, effect: fx.HttpCall) -> None:
        """Start a request; the client later gets its response, or ``HttpFailed``.

        A share of the requests reuses a pooled connection: they need no handshake, and over a
        cut network they fail at the deadline instead of at the connect timeout.
        """
        server = self.by_address.get(effect.address)
        if effect.not_after is not None and client.local_now() > effect.not_after:
            self._fail_unsent(client, effect, TOO_LATE_TO_SEND, 0.0)
            return
        self.watch(client, effect)
        if server is None or not (server.running or server.machine_up):
            self._fail_unsent(client, effect, CONNECT_TIMEOUT, effect.connect_deadline_s)
            return
        if not server.running:
            self._fail_unsent(client, effect, REFUSED, 0.001)
            return
        pooled = self._random.random() < POOLED_SHARE
        blocked = self._network.is_cut(client.place, server.place) or self._network.is_cut(
            server.place, client.place
        )
        if blocked and not pooled:
            wait = min(effect.connect_deadline_s, effect.deadline_s)
            self._fail_unsent(client, effect, CONNECT_TIMEOUT, wait)
            return
        handshake = 0.0 if pooled else 2 * self._network.delay(client.place, server.place)
        exchange = Exchange(
            client, client.generation, server, server.generation, effect, next(self._request_ids)
        )
        self._by_call[self._call_key(client, effect.call_id)] = exchange
        self._scheduler.after(handshake, lambda: self._send_request(exchange))
        self._schedule_deadlines(exchange)

    def cancel(self, client: SimulatedProcess, call_id: int) -> None:
        """Close the client's connection; the server sees the close after the network delay."""
        exchange = self._by_call.get(self._call_key(client, call_id))
        if exchange is not None:
            self._close_client_side(exchange)

    def serve(self, server: SimulatedProcess, effect: fx.Effect) -> None:
        """Apply a server's effect on one of its requests.

        Ignored if the exchange is over or the server has restarted since.
        """
        exchange = self._by_request.get(effect.request_id)
        if exchange is None or exchange.server_generation != server.generation:
            return
        if isinstance(effect, fx.ReadRequestBody):
            body = ev.HttpRequestBody(effect.request_id, exchange.effect.body)
            generation = server.generation
            self._scheduler.after(0.0, lambda: server.deliver_if(generation, body))
            return
        if isinstance(effect, fx.HttpRespond | fx.HttpStreamStart) and _is_skipped(
            exchange, effect
        ):
            return
        if isinstance(effect, fx.HttpRespond | fx.HttpStreamEnd | fx.HttpStreamAbort):
            exchange.server_open = False
            del self._by_request[effect.request_id]
        self._transmit_to_client(exchange, lambda: self._client_receives(exchange, effect))

    def process_died(self, process: SimulatedProcess) -> None:
        """Close the connections of a process that ended.

        Clients of the process see a reset only if its machine is up.
        """
        for exchange in [e for e in self._by_request.values() if e.server is process]:
            del self._by_request[exchange.request_id]
            if process.machine_up:
                self._transmit_to_client(
                    exchange, lambda e=exchange: self._fail_client(e, CONNECTION_RESET)
                )
        for exchange in [e for e in self._by_call.values() if e.client is process]:
            self._close_client_side(exchange)

    @staticmethod
    def _call_key(client: SimulatedProcess, call_id: int) -> tuple[str, int, int]:
        return (client.name, client.generation, call_id)

    def _send_request(self, exchange: Exchange) -> None:
        # Sent even if the client cancelled during the handshake, as if the bytes had been written.
        self._network.transmit(
            exchange.client.place,
            exchange.server.place,
            lambda: self._arrive(exchange),
            lost=lambda: self._fail_client(exchange, CONNECTION_RESET),
        )

    def _arrive(self, exchange: Exchange) -> None:
        server = exchange.server
        if server.generation != exchange.server_generation or not server.running:
            self._transmit_to_client(
                exchange, lambda: self._fail_client(exchange, CONNECTION_RESET)
            )
            return
        exchange.server_open = True
        self._by_request[exchange.request_id] = exchange
        server.deliver(self._request_arrived_event(exchange))
        if not exchange.client_open and exchange.server_open:
            self._close_server_side(exchange)

    def _request_arrived_event(self, exchange: Exchange) -> ev.HttpRequestArrived:
        effect = exchange.effect
        parts = urlsplit(effect.path)
        withheld = any(
            parts.path.startswith(prefix) for prefix in exchange.server.reducer.head_first_paths
        )
        return ev.HttpRequestArrived(
            request_id=exchange.request_id,
            method=effect.method,
            path=parts.path,
            query=dict(parse_qsl(parts.query)),
            headers={name.lower(): value for name, value in effect.headers.items()},
            body=b"" if withheld else effect.body,
            body_withheld=withheld,
            remote_address=exchange.client.place.ip,
            target=effect.path,
            listener=self.listeners.get(effect.address, ""),
        )

    def _schedule_deadlines(self, exchange: Exchange) -> None:
        effect = exchange.effect
        rate = exchange.client.clock_rate
        self._scheduler.after(
            effect.deadline_s / rate, lambda: self._fail_client(exchange, DEADLINE)
        )
        if effect.first_byte_deadline_s > 0:
            self._scheduler.after(
                effect.first_byte_deadline_s / rate, lambda: self._first_byte_deadline(exchange)
            )

    def _first_byte_deadline(self, exchange: Exchange) -> None:
        if not exchange.response_started:
            self._fail_client(exchange, FIRST_BYTE_DEADLINE)

    def _transmit_to_client(self, exchange: Exchange, deliver) -> None:
        exchange.last_to_client = self._network.transmit(
            exchange.server.place,
            exchange.client.place,
            deliver,
            exchange.last_to_client,
            lost=lambda: self._fail_client(exchange, CONNECTION_RESET),
        )

    def _client_receives(self, exchange: Exchange, effect: fx.Effect) -> None:
        if not exchange.client_open:
            return
        if isinstance(effect, fx.HttpStreamAbort):
            self._fail_client(exchange, CONNECTION_RESET)
        elif isinstance(effect, fx.HttpRespond):
            self._client_receives_head(exchange, effect.status, effect.headers)
            self._client_receives_data(exchange, effect.body)
            self._client_receives_end(exchange)
        elif isinstance(effect, fx.HttpStreamStart):
            self._client_receives_head(exchange, effect.status, effect.headers)
        elif isinstance(effect, fx.HttpStreamChunk):
            self._client_receives_data(exchange, effect.data)
        else:
            self._client_receives_end(exchange)

    def _client_receives_head(
        self, exchange: Exchange, status: int, headers: dict[str, str]
    ) -> None:
        exchange.response_started = True
        exchange.status = status
        exchange.headers = {name.lower(): value for name, value in headers.items()}
        if exchange.effect.streaming:
            event = ev.HttpResponseStarted(exchange.effect.call_id, status, exchange.headers)
            self._deliver(exchange, event)

    def _client_receives_data(self, exchange: Exchange, data: bytes) -> None:
        if not exchange.effect.streaming:
            exchange.collected.append(data)
        elif data:
            self._deliver(exchange, ev.HttpBodyChunk(exchange.effect.call_id, data))

    def _client_receives_end(self, exchange: Exchange) -> None:
        if not exchange.client_open:
            return
        self._detach_client(exchange)
        call_id = exchange.effect.call_id
        if exchange.effect.streaming:
            self._deliver(exchange, ev.HttpResponseCompleted(call_id))
            return
        body = b"".join(exchange.collected)
        self._deliver(exchange, ev.HttpAnswered(call_id, exchange.status, exchange.headers, body))

    def _fail_client(self, exchange: Exchange, reason: str) -> None:
        if not exchange.client_open:
            return
        state = ev.SendState.RESPONDING if exchange.response_started else ev.SendState.MAYBE_SENT
        self._close_client_side(exchange)
        self._deliver(exchange, ev.HttpFailed(exchange.effect.call_id, reason, state))

    def _close_client_side(self, exchange: Exchange) -> None:
        self._detach_client(exchange)
        if exchange.server_open:
            self._network.transmit(
                exchange.client.place,
                exchange.server.place,
                lambda: self._close_server_side(exchange),
            )

    def _close_server_side(self, exchange: Exchange) -> None:
        if not exchange.server_open:
            return
        exchange.server_open = False
        self._by_request.pop(exchange.request_id, None)
        event = ev.HttpRequestClosed(exchange.request_id)
        exchange.server.deliver_if(exchange.server_generation, event)

    def _detach_client(self, exchange: Exchange) -> None:
        exchange.client_open = False
        key = (exchange.client.name, exchange.client_generation, exchange.effect.call_id)
        self._by_call.pop(key, None)

    def _deliver(self, exchange: Exchange, event: ev.Event) -> None:
        exchange.client.deliver_if(exchange.client_generation, event)

    def _fail_unsent(
        self, client: SimulatedProcess, effect: fx.HttpCall, reason: str, wait_s: float
    ) -> None:
        generation = client.generation
        event = ev.HttpFailed(effect.call_id, reason, ev.SendState.NOT_SENT)
        key = self._call_key(client, effect.call_id)
        pending = Exchange(client, generation, client, generation, effect, 0)
        self._by_call[key] = pending

        def fail() -> None:
            if pending.client_open:
                self._detach_client(pending)
                client.deliver_if(generation, event)

        self._scheduler.after(wait_s, fail)


def _is_skipped(exchange: Exchange, effect: fx.HttpRespond | fx.HttpStreamStart) -> bool:
    """Return whether the client skips a response because it belongs to an earlier request."""
    headers = {name.lower(): value for name, value in effect.headers.items()}
    return exchange.effect.is_response_to_another(headers)
