"""The internal port: thrift requests of peers, and the answers to them."""

from collections.abc import Callable, Iterator

import attrs
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from rooklug.engine.effects import Answer
from rooklug.engine.events import CallArrived, Event
from rooklug.runtime.tasks import LogWriter
from rooklug.wire.channel import ChannelMetrics, FramedConnection, OutgoingFrame
from rooklug.wire.frames import Message, encode_frame


@attrs.frozen(eq=False)
class _UnansweredCall:
    """Where an answer goes, and the id by which the caller knows its call."""

    connection: FramedConnection
    caller_id: int


class RpcServer(TCPServer):
    """Delivers ``CallArrived`` and executes ``Answer``.

    Garbage closes its connection and is logged; nothing else is affected.
    """

    def __init__(
        self,
        node_id: str,
        identifiers: Iterator[int],
        deliver: Callable[[Event], None],
        log: LogWriter,
        figures: ChannelMetrics,
    ) -> None:
        super().__init__()
        self._node_id = node_id
        self._figures = figures
        self._identifiers = identifiers
        self._deliver = deliver
        self._log = log
        self._unanswered: dict[int, _UnansweredCall] = {}
        self._connections: dict[FramedConnection, str] = {}

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a new connection."""
        connection = FramedConnection(stream, self._message, self._closed, self._figures)
        self._connections[connection] = f"{address[0]}:{address[1]}"
        connection.start()

    def answer(self, effect: Answer) -> None:
        """Send an answer; dropped when the caller's connection is gone."""
        call = self._unanswered.pop(effect.call_id, None)
        if call is None:
            return
        frame = encode_frame(
            Message(call.caller_id, is_answer=True, sender=self._node_id, body=effect.answer)
        )
        if frame.is_error():
            self._log("error", "answer not sent", {"reason": frame.error.message})
            return
        call.connection.send(OutgoingFrame(frame.ok, lambda: True))

    def close_connections(self) -> None:
        """Close every connection."""
        for connection in list(self._connections):
            connection.close_for("this process stops")

    def _message(self, connection: FramedConnection, message: Message) -> None:
        if message.is_answer:
            connection.close_for("garbage frame: an answer from the calling side")
            return
        call_id = next(self._identifiers)
        self._unanswered[call_id] = _UnansweredCall(connection, message.call_id)
        self._deliver(CallArrived(call_id, message.sender, message.body))

    def _closed(self, connection: FramedConnection, reason: str) -> None:
        peer = self._connections.pop(connection)
        if reason.startswith("garbage"):
            self._log("warning", "connection closed", {"peer": peer, "reason": reason})
        self._unanswered = {
            call_id: call
            for call_id, call in self._unanswered.items()
            if call.connection is not connection
        }
