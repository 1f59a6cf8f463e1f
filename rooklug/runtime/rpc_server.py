"""The internal port: peers' thrift requests and the answers to them."""

from collections.abc import Callable, Iterator

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from rooklug.engine.effects import Answer
from rooklug.engine.events import CallArrived, Event
from rooklug.runtime.tasks import LogWriter
from rooklug.wire.channel import ChannelMetrics, FramedConnection, OutgoingFrame
from rooklug.wire.frames import Message, encode_frame


class RpcServer(TCPServer):
    """Delivers ``CallArrived`` and obeys ``Answer``.

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
        self._unanswered: dict[int, tuple[FramedConnection, int]] = {}
        self._connections: dict[FramedConnection, str] = {}

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a new connection."""
        connection = FramedConnection(stream, self._message, self._closed, self._figures)
        self._connections[connection] = f"{address[0]}:{address[1]}"
        connection.start()

    def answer(self, effect: Answer) -> None:
        """Send an answer; dropped when the caller's connection is gone."""
        connection, caller_id = self._unanswered.pop(effect.call_id, (None, 0))
        if connection is None:
            return
        frame = encode_frame(Message(caller_id, True, self._node_id, effect.answer))
        if frame.is_error():
            self._log("error", "answer not sent", {"reason": frame.error.message})
            return
        connection.send(OutgoingFrame(frame.ok, lambda: True))

    def close_connections(self) -> None:
        """Close every connection."""
        for connection in list(self._connections):
            connection.close_for("this process stops")

    def _message(self, connection: FramedConnection, message: Message) -> None:
        if message.is_answer:
            connection.close_for("garbage frame: an answer from the calling side")
            return
        call_id = next(self._identifiers)
        self._unanswered[call_id] = (connection, message.call_id)
        self._deliver(CallArrived(call_id, message.sender, message.body))

    def _closed(self, connection: FramedConnection, reason: str) -> None:
        peer = self._connections.pop(connection)
        if reason.startswith("garbage"):
            self._log("warning", "connection closed", {"peer": peer, "reason": reason})
        gone = [key for key, entry in self._unanswered.items() if entry[0] is connection]
        for call_id in gone:
            del self._unanswered[call_id]
