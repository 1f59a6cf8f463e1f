"""A response to another request is never taken for the answer, whatever its status says."""

import asyncio
import unittest
from unittest import mock

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.events import SendState
from rooklug.gateway.traffic_record import TrafficRecord
from tests.gateway_support import NAMES, GatewayFront, answer_headers, replica, route_item
from tests.runtime_support import FunctionReducer, HostCase, execute

ID_HEADER = NAMES.request_id
PROMISES = (503, 429, 421, 400)


def response(status: int, request_id: str, body: bytes = b"x", *lines: str) -> bytes:
    """Return a complete response; "" as the request id leaves its header out."""
    head = [f"HTTP/1.1 {status} Reason", f"content-length: {len(body)}", *lines]
    if request_id:
        head.append(f"{ID_HEADER}: {request_id}")
    return "\r\n".join([*head, "", ""]).encode() + body


def chunked_response(request_id: str) -> bytes:
    head = f"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n{ID_HEADER}: {request_id}\r\n\r\n"
    return head.encode() + b"6\r\nid: 1\n\r\n0\r\n\r\n"


class ScriptedServer:
    """Sends, for each request, the bytes that ``script`` has for its number, from 0."""

    def __init__(self, script: list[list[bytes]]) -> None:
        self._script = script
        self.connections = 0
        self.requests: list[int] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        connection = self.connections
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                number = len(self.requests)
                self.requests.append(connection)
                for part in self._script[number]:
                    writer.write(part)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class AtTheClient(HostCase, unittest.IsolatedAsyncioTestCase):
    async def start(self, *script: list[bytes]) -> None:
        self.server = ScriptedServer(list(script))
        listener = await asyncio.start_server(self.server.serve, "127.0.0.1", 0)
        self.addAsyncCleanup(self.close, listener)
        self.address = "{}:{}".format(*listener.sockets[0].getsockname()[:2])
        self.caller = FunctionReducer()
        self.host = await self.start_host(self.caller)

    async def close(self, listener: asyncio.Server) -> None:
        listener.close()

    async def answer_to(self, call_id: int, request_id: str, **options: object) -> ev.Event:
        headers = {ID_HEADER: request_id}
        call = fx.HttpCall(
            call_id, self.address, "GET", "/", b"", 5.0, headers, echoed_header=ID_HEADER, **options
        )
        execute(self.host, call)
        kind = ev.HttpResponseCompleted if options.get("streaming") else ev.HttpAnswered
        return await self.caller.wait_for(kind, call_id=call_id)

    async def test_a_surplus_rejection_in_place_of_the_answer_is_skipped(self) -> None:
        # Before, its status and headers were delivered as the answer to the next request.
        for status in (*PROMISES, 200, 500):
            with self.subTest(status):
                await self.start(
                    [response(200, "one")],
                    [response(status, "one"), response(200, "two", b"mine")],
                    [response(200, "three")],
                )
                await self.answer_to(1, "one")
                answer = await self.answer_to(2, "two")
                self.assertEqual((answer.status, answer.body), (200, b"mine"))
                await self.answer_to(3, "three")
                # The connection on which a surplus response came is not used again.
                self.assertEqual(self.server.requests, [1, 1, 2])
                self.assertEqual(self.host._http_client.skipped_responses, 1)

    async def test_a_surplus_stream_in_place_of_a_stream_is_skipped(self) -> None:
        await self.start([chunked_response("one"), chunked_response("two")])
        await self.answer_to(1, "two", streaming=True)
        (started,) = self.caller.of_type(ev.HttpResponseStarted)
        self.assertEqual(started.headers[ID_HEADER], "two")
        self.assertEqual(len(self.caller.of_type(ev.HttpBodyChunk)), 1)

    async def test_an_informational_response_to_another_request_is_skipped(self) -> None:
        early = f"HTTP/1.1 103 Early Hints\r\n{ID_HEADER}: one\r\n\r\n".encode()
        await self.start([early, response(200, "two", b"mine")], [response(200, "three")])
        answer = await self.answer_to(1, "two")
        self.assertEqual(answer.body, b"mine")
        await self.answer_to(2, "three")
        self.assertEqual(self.server.connections, 2)

    async def test_a_surplus_response_on_an_idle_connection_is_never_read(self) -> None:
        await self.start(
            [response(200, "one"), response(503, "one")], [response(200, "two", b"mine")]
        )
        await self.answer_to(1, "one")
        answer = await self.answer_to(2, "two")
        self.assertEqual((answer.status, answer.body), (200, b"mine"))

    async def test_a_connection_is_not_used_again_after_a_response_without_the_id(self) -> None:
        await self.start([response(400, "")], [response(200, "two")])
        answer = await self.answer_to(1, "one")
        self.assertEqual(answer.status, 400)
        await self.answer_to(2, "two")
        self.assertEqual(self.server.requests, [1, 2])

    async def test_a_server_that_sends_only_surplus_responses_fails_the_call(self) -> None:
        await self.start([response(503, "other") * 20])
        headers = {ID_HEADER: "one"}
        call = fx.HttpCall(1, self.address, "GET", "/", b"", 5.0, headers, echoed_header=ID_HEADER)
        execute(self.host, call)
        failed = await self.caller.wait_for(ev.HttpFailed, call_id=1)
        self.assertEqual(failed.send_state, SendState.MAYBE_SENT)


ONCE = route_item("once", "/pay/", max_replicas=2)
REPEATABLE = route_item("again", "/again/", execution="repeatable", max_replicas=2)
STREAM = route_item("stream", "/s/", execution="event_stream", service="model", max_replicas=2)
RESUMABLE = route_item(
    "resumable", "/r/", execution="event_stream", service="model", max_replicas=2, resumable=True
)


class AtTheFront(unittest.TestCase):
    """The front looks at the id itself, whatever has delivered the response."""

    def setUp(self) -> None:
        ledgers = [replica(number) for number in (1, 2, 3)]
        models = [replica(number, "model") for number in (4, 5, 6)]
        self.front = GatewayFront([ONCE, REPEATABLE, STREAM, RESUMABLE], [*ledgers, *models])

    def respond(self, call: fx.HttpCall, status: int, headers: dict[str, str]) -> list[fx.Effect]:
        if not call.streaming:
            return self.front.handle(ev.HttpAnswered(call.call_id, status, headers, b""))
        started = self.front.handle(ev.HttpResponseStarted(call.call_id, status, headers))
        return started + self.front.handle(ev.HttpResponseCompleted(call.call_id))

    def foreign(self, call: fx.HttpCall) -> dict[str, str]:
        return answer_headers(call, **{ID_HEADER: "earlier", NAMES.not_executed: "1"})

    def test_a_request_that_may_not_run_twice_gets_no_promise_and_no_second_replica(self) -> None:
        # A surplus 503 or 421 sent it to a second replica, or told its client that it hadn't run.
        for path in ("/pay/1", "/s/1"):
            for status in (*PROMISES, 200):
                with self.subTest(path, status=status):
                    (call,) = self.front.request(path)
                    effects = self.respond(call, status, self.foreign(call))
                    (answer,) = [e for e in effects if not isinstance(e, fx.CancelHttpCall)]
                    self.assertIsInstance(answer, fx.HttpRespond)
                    self.assertEqual(answer.status, 502)

    def test_a_request_that_may_run_twice_goes_to_another_replica(self) -> None:
        for path in ("/again/1", "/r/1"):
            for status in (*PROMISES, 200):
                with self.subTest(path, status=status):
                    (call,) = self.front.request(path)
                    effects = self.respond(call, status, self.foreign(call))
                    (second,) = [e for e in effects if not isinstance(e, fx.CancelHttpCall)]
                    self.assertIsInstance(second, fx.HttpCall)
                    self.assertNotEqual(second.address, call.address)
                    answered = self.respond(second, 503, self.foreign(second))
                    (answer,) = [e for e in answered if isinstance(e, fx.HttpRespond)]
                    self.assertEqual(answer.status, 502)

    def test_the_replica_is_not_marked_by_a_response_to_another_request(self) -> None:
        with (
            mock.patch.object(TrafficRecord, "record_end") as record_end,
            mock.patch.object(TrafficRecord, "record_address_mismatch") as record_mismatch,
        ):
            for path in ("/pay/1", "/again/1", "/s/1", "/r/1"):
                for status in (*PROMISES, 200):
                    (call,) = self.front.request(path)
                    self.respond(call, status, self.foreign(call))
        outcomes = [call.args[2] for call in record_end.call_args_list]
        self.assertEqual(outcomes, [None] * 20)
        record_mismatch.assert_not_called()

    def test_a_rejection_without_an_id_is_a_promise_only_if_nothing_could_be_parsed(self) -> None:
        for status, expected in ((400, 400), (503, 502), (429, 502), (421, 502)):
            with self.subTest(status):
                (call,) = self.front.request("/pay/1")
                (answer,) = self.respond(call, status, {NAMES.not_executed: "1"})
                self.assertEqual(answer.status, expected)
