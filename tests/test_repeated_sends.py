"""A late, surplus response to one send of a request is never taken for another send's answer."""

import asyncio
import unittest

import attrs

from rooklug.config.document import Route, RouteKind
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.engine.reducer import Identifiers
from rooklug.front.once_only.attempt import Attempt
from rooklug.front.once_only.backend import backend_call, result_of
from rooklug.front.once_only.requests import OnceHead, Payload
from rooklug.front.requests import REQUEST_ID_HEADER
from rooklug.gateway.gateway_events import ViewChanged
from rooklug.gateway.listing import ListingWatcher
from rooklug.gateway.protocols import ListingPage
from rooklug.model.internal_events import PrimaryStarted, TopicOffered
from rooklug.runtime.http_pool import MAX_REQUESTS_PER_CONNECTION
from rooklug.wire.generated.claims.ttypes import ClaimRecord
from rooklug.wire.generated.control.ttypes import ListedReplica
from tests.gateway_control_support import listed, operator_protocol
from tests.gateway_support import NAMES, GatewayFront, replica, route_item
from tests.runtime_support import FunctionReducer, HostCase, execute

ID_HEADER = NAMES.request_id
ONCE_ROUTE = Route(RouteKind.ONCE, backend="ledger")
HTTP_OK = 200
CALL_ENDS = (ev.HttpAnswered, ev.HttpResponseCompleted, ev.HttpFailed)


def response(
    status: int, request_id: str = "", body: bytes = b"", id_header: str = ID_HEADER
) -> bytes:
    """Return a complete response; a failure says that the request has not run."""
    lines = [f"HTTP/1.1 {status} Reason", f"content-length: {len(body)}"]
    if request_id:
        lines.append(f"{id_header}: {request_id}")
    if status != HTTP_OK:
        lines.append(f"{NAMES.not_executed}: 1")
    return "\r\n".join([*lines, "", ""]).encode() + body


def stream_response(request_id: str, *events: str) -> bytes:
    """Return a complete chunked response of server-sent events."""
    head = f"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n{ID_HEADER}: {request_id}\r\n\r\n"
    chunks = [f"{len(event):x}\r\n{event}\r\n" for event in events]
    return "".join([head, *chunks, "0\r\n\r\n"]).encode()


class RepeatingServer:
    """Answers each request in turn; sends a connection's previous response in front of the next."""

    def __init__(self, responses: list[bytes]) -> None:
        self._responses = responses
        self._connections = 0
        self.requests: list[int] = []
        """The number of the connection on which each request came, from 1."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        connection = self._connections
        surplus = b""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(_content_length(head))
                answer = self._responses[len(self.requests)]
                self.requests.append(connection)
                writer.write(surplus + answer)
                surplus = answer
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _content_length(head: bytes) -> int:
    for line in head.decode().splitlines():
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            return int(value)
    return 0


class ClientCase(HostCase, unittest.IsolatedAsyncioTestCase):
    SERVER = "127.0.0.1:1"
    """Stands for the server's address in calls; ``end_of`` puts in the real one."""

    async def start(self, *responses: bytes) -> None:
        self.server = RepeatingServer(list(responses))
        listener = await asyncio.start_server(self.server.serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        self.address = "{}:{}".format(*listener.sockets[0].getsockname()[:2])
        self.caller = FunctionReducer()
        self.host = await self.start_host(self.caller)

    async def end_of(self, call: fx.HttpCall) -> ev.Event:
        """Send a call to the server, wherever it is addressed to; return its last event."""
        execute(self.host, attrs.evolve(call, address=self.address))
        while True:
            ends = [event for event in self.caller.events if isinstance(event, CALL_ENDS)]
            for event in ends:
                if event.call_id == call.call_id:
                    return event
            await asyncio.sleep(0)

    def call(self, call_id: int, request_id: str = "", **options: object) -> fx.HttpCall:
        headers = {ID_HEADER: request_id} if request_id else {}
        settings = {"headers": headers, "echoed_header": ID_HEADER, **options}
        return fx.HttpCall(call_id, self.SERVER, "GET", "/", b"", 5.0, **settings)


class Connections(ClientCase):
    async def test_a_request_sent_again_gets_a_connection_that_has_not_carried_it(self) -> None:
        # The surplus copy of the first rejection had the request's own id on the kept connection.
        rejection = response(421, "one")
        await self.start(rejection, response(HTTP_OK, "one", b"mine"))
        await self.end_of(self.call(1, "one"))
        answer = await self.end_of(self.call(2, "one"))
        self.assertEqual((answer.status, answer.body), (200, b"mine"))
        self.assertEqual(self.server.requests, [1, 2])

    async def test_the_connection_stays_in_use_for_other_requests(self) -> None:
        ids = ["one", "one", "two", "three"]
        await self.start(*(response(HTTP_OK, request_id) for request_id in ids))
        for call_id, request_id in enumerate(ids):
            await self.end_of(self.call(call_id, request_id))
        # Each surplus response ends the use of its connection.
        self.assertEqual(self.server.requests, [1, 2, 2, 1])

    async def test_a_response_to_a_call_with_an_id_is_not_taken_for_one_without(self) -> None:
        await self.start(response(503, "one"), response(HTTP_OK, body=b"report"))
        await self.end_of(self.call(1, "one"))
        answer = await self.end_of(self.call(2))
        self.assertEqual((answer.status, answer.body), (200, b"report"))

    async def test_calls_without_an_id_never_share_a_connection(self) -> None:
        # A late report or list was taken for the next one's, and off by one from then on.
        await self.start(*(response(HTTP_OK, body=b"%d" % number) for number in range(3)))
        for number in range(3):
            answer = await self.end_of(self.call(number, echoed_header=""))
            self.assertEqual(answer.body, b"%d" % number)
        self.assertEqual(self.server.requests, [1, 2, 3])

    async def test_a_connection_keeps_a_bounded_number_of_ids(self) -> None:
        await self.start()
        pool = self.host._http_client.pool
        stream = await pool.acquire(self.address, 1.0, "0")
        for number in range(1, MAX_REQUESTS_PER_CONNECTION):
            pool.release(self.address, stream)
            self.assertIs(await pool.acquire(self.address, 1.0, str(number)), stream)
        pool.release(self.address, stream)
        self.assertTrue(stream.closed())


class AtTheFront(ClientCase):
    """The calls of a front, sent to one server: the address keeps its place, the replica not."""

    def start_front(self, route: dict) -> None:
        self.route = route
        self.front = GatewayFront([route], [replica(1, route["service"])])

    def replace_replica(self) -> None:
        """Show the front a successor at the replica's address."""
        service = self.route["service"]
        successor = replica(1, service, replica_id=f"{service}-successor")
        view = attrs.evolve(self.front.view, replicas={service: (successor,)})
        self.front.executor.handle(ViewChanged(view), self.front.now)

    async def final_answer(self, call: fx.HttpCall) -> list[fx.Effect]:
        """Carry out the front's calls until it sends none; return its other effects."""
        others: list[fx.Effect] = []
        calls = [call]
        while calls:
            call = calls.pop()
            before = len(self.caller.events)
            await self.end_of(call)
            for event in self.caller.events[before:]:
                effects = self.front.handle(event)
                calls += [effect for effect in effects if isinstance(effect, fx.HttpCall)]
                others += [effect for effect in effects if not isinstance(effect, fx.HttpCall)]
        return others

    async def test_a_successor_at_the_address_runs_a_request_once(self) -> None:
        # The surplus 421 was taken for the successor's answer, though the request ran there, and a
        # third replica ran it as well (TWICE).
        self.start_front(route_item("once", "/pay/", max_replicas=3))
        (call,) = self.front.request("/pay/1")
        request_id = call.headers[ID_HEADER]
        rejection = response(421, request_id)
        await self.start(rejection, response(HTTP_OK, request_id, b"ran"), rejection)
        self.replace_replica()
        (answer,) = await self.final_answer(call)
        self.assertEqual((answer.status, answer.body), (200, b"ran"))
        self.assertEqual(self.server.requests, [1, 2])

    async def test_a_stream_taken_up_again_at_the_address_has_each_event_once(self) -> None:
        # The first run's events came again in front of the second run's.
        route = route_item(
            "s", "/s/", execution="event_stream", service="model", max_replicas=2, resumable=True
        )
        self.start_front(route)
        (call,) = self.front.request("/s/1")
        request_id = call.headers[ID_HEADER]
        first, second, third = (f"id: {n}\ndata: {n}\n\n" for n in (1, 2, 3))
        broken = stream_response(request_id, first, second[:5])
        await self.start(broken, stream_response(request_id, second, third))
        self.replace_replica()
        effects = await self.final_answer(call)
        sent = b"".join(effect.data for effect in effects if isinstance(effect, fx.HttpStreamChunk))
        self.assertEqual(sent, (first + second + third).encode())
        self.assertIsInstance(effects[-1], fx.HttpStreamEnd)


def once_attempt(request_id: str, now: float) -> Attempt:
    """Return an attempt to write a key that several callers' requests may name."""
    head = OnceHead(request_id, "key", "route", ONCE_ROUTE, now, now + 5.0, is_first_attempt=True)
    return Attempt(1, 1, head, Payload(b"{}", b""), 0, ClaimRecord(), 0.0)


class OnceOnly(ClientCase):
    async def test_a_write_sent_again_gets_a_connection_that_has_not_carried_it(self) -> None:
        # The pool didn't know the id, so a late response to the first write could be taken for the
        # second's: it has the same request id and the same key.
        backend = ListedReplica("b-1", self.SERVER, "once", "ledger", "n", "n-a", "", 1.0, False)
        result = b'{"request_id":"one","key":"key","result":%d}'
        answers = [response(HTTP_OK, "one", result % n, REQUEST_ID_HEADER) for n in (1, 2)]
        await self.start(*answers)
        now = asyncio.get_running_loop().time()
        attempt = once_attempt("one", now)
        for call_id in (1, 2):
            end = await self.end_of(backend_call(call_id, backend, attempt, now))
            self.assertEqual(result_of(attempt, end.status, end.body), b"%d" % call_id)
        self.assertEqual(self.server.requests, [1, 2])


class PlatformList(ClientCase):
    async def test_each_read_gets_its_own_list(self) -> None:
        # A late list was published as the newest; with several pages, entries stood at two places.
        pages = {"old": ListingPage((listed(1),), ""), "new": ListingPage((listed(2),), "")}
        watcher = ListingWatcher(operator_protocol(pages), self.SERVER, Identifiers())
        await self.start(response(HTTP_OK, body=b"old"), response(HTTP_OK, body=b"new"))
        offers = []
        for event in (PrimaryStarted(1), ev.TimerFired("read")):
            call = watcher.handle(event, 0.0)[-1]
            effects = watcher.handle(await self.end_of(call), 0.0)
            emitted = [effect.event for effect in effects if isinstance(effect, EmitEvent)]
            offers += [offer for offer in emitted if isinstance(offer, TopicOffered)]
        ids = [[entry.replica_id for entry in offer.body.replicas] for offer in offers]
        self.assertEqual(ids, [["r-1"], ["r-2"]])


if __name__ == "__main__":
    unittest.main()
