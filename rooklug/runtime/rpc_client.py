"""RPC client: outgoing thrift calls over one connection per peer, answers matched by call id."""

import asyncio
from collections.abc import Callable

import attrs
from tornado.iostream import IOStream

from rooklug.engine.effects import Call
from rooklug.engine.events import CallAnswered, CallFailed, Event
from rooklug.runtime.addresses import ConnectError, connect_stream
from rooklug.runtime.connect_timeouts import ConnectTimeouts
from rooklug.runtime.tasks import BackgroundTasks, LogWriter
from rooklug.wire.channel import ChannelMetrics, FramedConnection, OutgoingFrame
from rooklug.wire.frames import Message, encode_frame


@attrs.define(eq=False)
class _PendingCall:
    effect: Call
    data: bytes
    deadline_timer: asyncio.TimerHandle = attrs.field(init=False)
    written_at: float | None = None
    finished: bool = False


class _Peer:
    """The connection to one address, with the calls that wait for an answer on it.

    A peer is retired when a call times out and nothing has been received since the call was
    written: the network path may be dropping packets silently. New calls then use a new
    connection, while the retired one stays open for the answers still pending.
    """

    def __init__(self, client: "RpcClient", address: str) -> None:
        self.address = address
        self.last_received = 0.0
        self.pending: dict[int, _PendingCall] = {}
        self._client = client
        self._connection: FramedConnection | None = None
        self._connecting = client.tasks.start(self._connect())

    def submit(self, call: _PendingCall) -> None:
        """Send the call now, or as soon as the connection is established."""
        self.pending[call.effect.call_id] = call
        if self._connection is not None:
            self._send(self._connection, call)

    def close(self, reason: str) -> None:
        """Close the connection, or cancel the connection attempt."""
        self._connecting.cancel()
        if self._connection is not None:
            self._connection.close(reason)

    async def _connect(self) -> None:
        timeouts = self._client.connect_timeouts
        try:
            timeout_s = timeouts.next_timeout_s(self.address)
            stream: IOStream = await connect_stream(self.address, self._client.bind_ip, timeout_s)
        except ConnectError as problem:
            timeouts.record_failure(self.address)
            self._client.peer_closed(self, str(problem))
            return
        except Exception as problem:  # a bug here must not leave the peer unreachable for good
            self._client.peer_closed(self, f"internal error while connecting: {problem!r}")
            raise
        timeouts.record_success(self.address)
        connection = FramedConnection(
            stream, self._on_message, self._on_closed, self._client.channel_metrics
        )
        self._connection = connection
        connection.start()
        for call in list(self.pending.values()):
            self._send(connection, call)

    def _send(self, connection: FramedConnection, call: _PendingCall) -> None:
        connection.send(OutgoingFrame(call.data, lambda: self._may_write(call)))

    def _may_write(self, call: _PendingCall) -> bool:
        if self._client.may_write(call):
            return True
        self.pending.pop(call.effect.call_id, None)
        return False

    def _on_message(self, connection: FramedConnection, message: Message) -> None:
        self.last_received = self._client.loop.time()
        if not message.is_answer:
            connection.close("garbage frame: the server side sent a request")
            return
        call = self.pending.pop(message.call_id, None)
        if call is not None:
            self._client.finish(call, CallAnswered(message.call_id, message.body))
        self._client.close_if_retired(self)

    def _on_closed(self, _connection: FramedConnection, reason: str) -> None:
        self._client.peer_closed(self, reason)


class RpcClient:
    """Executes ``Call``; each ends with exactly one ``CallAnswered`` or ``CallFailed``."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        node_id: str,
        bind_ip: str,
        deliver: Callable[[Event], None],
        log: LogWriter,
        channel_metrics: ChannelMetrics,
    ) -> None:
        self.channel_metrics = channel_metrics
        self.loop = loop
        self.bind_ip = bind_ip
        self.tasks = BackgroundTasks(loop, log)
        self.connect_timeouts = ConnectTimeouts()
        self._node_id = node_id
        self._deliver = deliver
        self._log = log
        self._peers: dict[str, _Peer] = {}
        self._retired: set[_Peer] = set()

    def start(self, effect: Call) -> None:
        """Start a call; a request that is too large to send fails immediately."""
        frame = encode_frame(
            Message(effect.call_id, is_answer=False, sender=self._node_id, body=effect.request)
        )
        if frame.is_error():
            self._deliver(CallFailed(effect.call_id, frame.error.message, maybe_delivered=False))
            return
        call = _PendingCall(effect, frame.ok)
        peer = self._peers.get(effect.address)
        if peer is None:
            peer = self._peers[effect.address] = _Peer(self, effect.address)
        call.deadline_timer = self.loop.call_later(effect.deadline_s, self._expire, peer, call)
        peer.submit(call)

    def close(self) -> None:
        """Close every connection; called when the host stops."""
        for peer in [*self._peers.values(), *self._retired]:
            peer.close("this process is stopping")

    def may_write(self, call: _PendingCall) -> bool:
        """Return whether the call may still be sent; called right before its first byte is written.

        A call that has ended may not; one past its ``not_after`` fails here.
        """
        if call.finished:
            return False
        now = self.loop.time()
        if call.effect.not_after is not None and now > call.effect.not_after:
            self.finish(
                call,
                CallFailed(
                    call.effect.call_id, "not sent: past its not_after time", maybe_delivered=False
                ),
            )
            return False
        call.written_at = now
        return True

    def finish(self, call: _PendingCall, event: CallAnswered | CallFailed) -> None:
        """Deliver the event that ends the call; ignored if the call has already ended."""
        if call.finished:
            return
        call.finished = True
        call.deadline_timer.cancel()
        self._deliver(event)

    def peer_closed(self, peer: _Peer, reason: str) -> None:
        """Fail the calls pending on a connection that has closed, and forget the peer."""
        self._retired.discard(peer)
        if self._peers.get(peer.address) is peer:
            del self._peers[peer.address]
        if reason.startswith("garbage"):
            self._log(
                "warning",
                "malformed frame received; connection closed",
                {"peer": peer.address, "reason": reason},
            )
        for call in list(peer.pending.values()):
            self._fail(call, reason)
        peer.pending.clear()

    def close_if_retired(self, peer: _Peer) -> None:
        """Close a retired connection once no call is pending on it."""
        if peer in self._retired and not peer.pending:
            peer.close("retired: no answer within the deadline")

    def _expire(self, peer: _Peer, call: _PendingCall) -> None:
        self._fail(call, "deadline")
        peer.pending.pop(call.effect.call_id, None)
        if call.written_at is not None and peer.last_received < call.written_at:
            self._retire(peer)
        self.close_if_retired(peer)

    def _retire(self, peer: _Peer) -> None:
        if self._peers.get(peer.address) is peer:
            del self._peers[peer.address]
            self._retired.add(peer)

    def _fail(self, call: _PendingCall, reason: str) -> None:
        delivered = call.written_at is not None
        self.finish(call, CallFailed(call.effect.call_id, reason, delivered))
