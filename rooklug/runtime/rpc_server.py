"""RPC server on the internal port: receives thrift requests of peers and sends the answers."""

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
    """The connection to answer on, and the call id that the caller assigned."""

    connection: FramedConnection
    caller_id: int


class RpcServer(TCPServer):
    """Delivers ``CallArrived`` and executes ``Answer``.

    A malformed frame closes its connection and is logged; other connections are not affected.
    """

    def __init__(
        self,
        node_id: str,
        identifiers: Iterator[int],
        deliver: Callable[[Event], None],
        log: LogWriter,
        metrics: ChannelMetrics,
    ) -> None:
        super().__init__()
        self._node_id = node_id
        self._channel_metrics = metrics
        self._identifiers = identifiers
        self._deliver = deliver
        self._log = log
        self._unanswered: dict[int, _UnansweredCall] = {}
        self._connections: dict[FramedConnection, str] = {}

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Start reading frames from a new connection."""
        connection = FramedConnection(
            stream, self._on_message, self._on_closed, self._channel_metrics
        )
        self._connections[connection] = f"{address[0]}:{address[1]}"
        connection.start()

    def answer(self, effect: Answer) -> None:
        """Send an answer; dropped if the caller's connection has closed."""
        call = self._unanswered.pop(effect.call_id, None)
        if call is None:
            return
        frame = encode_frame(
            Message(call.caller_id, is_answer=True, sender=self._node_id, body=effect.answer)
        )
        if frame.is_error():
            self._log("error", "answer can't be encoded; dropped", {"reason": frame.error.message})
            return
        call.connection.send(OutgoingFrame(frame.ok, lambda: True))

    def close_connections(self) -> None:
        """Close every connection; calls not answered yet fail at their callers."""
        for connection in list(self._connections):
            connection.close("this process is stopping")

    def _on_message(self, connection: FramedConnection, message: Message) -> None:
        if message.is_answer:
            connection.close("garbage frame: the client side sent an answer")
            return
        call_id = next(self._identifiers)
        self._unanswered[call_id] = _UnansweredCall(connection, message.call_id)
        self._deliver(CallArrived(call_id, message.sender, message.body))

    def _on_closed(self, connection: FramedConnection, reason: str) -> None:
        peer = self._connections.pop(connection)
        if reason.startswith("garbage"):
            self._log(
                "warning",
                "malformed frame received; connection closed",
                {"peer": peer, "reason": reason},
            )
        self._unanswered = {
            call_id: call
            for call_id, call in self._unanswered.items()
            if call.connection is not connection
        }
