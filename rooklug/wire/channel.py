"""One framed connection of the internal protocol over a tornado IOStream."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs
from tornado.iostream import IOStream, StreamClosedError

from rooklug.wire.frames import LENGTH_BYTES, Message, decode_payload, payload_length


@attrs.frozen(eq=False)
class OutgoingFrame:
    """Bytes of a frame; ``may_write`` is called right before its first byte is written."""

    data: bytes
    may_write: Callable[[], bool]


@attrs.define(eq=False)
class ChannelMetrics:
    """Bytes of frames, summed over all connections that share the object."""

    sent_bytes: int = 0
    received_bytes: int = 0


class FramedConnection:
    """Reads messages and writes frames in order, one frame in the stream's buffer at a time.

    ``on_message(connection, message)`` may call ``close_for``. ``on_closed(connection,
    reason)`` is called exactly once.
    """

    def __init__(
        self,
        stream: IOStream,
        on_message: Callable[["FramedConnection", Message], None],
        on_closed: Callable[["FramedConnection", str], None],
        metrics: ChannelMetrics,
    ) -> None:
        self._metrics = metrics
        self._stream = stream
        self._on_message = on_message
        self._on_closed = on_closed
        self._queued: deque[OutgoingFrame] = deque()
        self._writing = False
        self._close_reason = ""
        self._reader: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to read."""
        self._stream.set_nodelay(True)
        self._reader = asyncio.get_running_loop().create_task(self._read())

    def send(self, frame: OutgoingFrame) -> None:
        """Write the frame once those before it are in the kernel's buffer."""
        self._queued.append(frame)
        if not self._writing:
            self._write_queued()

    def close_for(self, reason: str) -> None:
        """Close; ``reason`` is what ``on_closed`` gets."""
        self._close_reason = self._close_reason or reason
        self._stream.close()

    def _write_queued(self) -> None:
        while self._queued and not self._stream.closed():
            frame = self._queued.popleft()
            if not frame.may_write():
                continue
            self._metrics.sent_bytes += len(frame.data)
            written = self._stream.write(frame.data)
            if not written.done():
                self._writing = True
                written.add_done_callback(self._write_done)
                return

    def _write_done(self, written: asyncio.Future) -> None:
        self._writing = False
        if not written.cancelled() and written.exception() is None:
            self._write_queued()

    async def _read(self) -> None:
        try:
            while await self._read_one():
                pass
        except StreamClosedError:
            pass
        finally:
            self._stream.close()
            self._queued.clear()
            self._on_closed(self, self._close_reason or "connection closed by the peer")

    async def _read_one(self) -> bool:
        header = await self._stream.read_bytes(LENGTH_BYTES)
        length = payload_length(header)
        if length.is_error():
            return self._refuse(length.error.message)
        payload = await self._stream.read_bytes(length.ok)
        self._metrics.received_bytes += LENGTH_BYTES + len(payload)
        message = decode_payload(payload)
        if message.is_error():
            return self._refuse(message.error.message)
        self._on_message(self, message.ok)
        return (
            not self._close_reason
        )  # frames that a closed connection still has buffered are dropped

    def _refuse(self, reason: str) -> bool:
        self.close_for(f"garbage frame: {reason}")
        return False
