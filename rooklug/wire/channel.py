"""Framed connections of the internal protocol over a tornado IOStream."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs
from tornado.iostream import IOStream, StreamClosedError

from rooklug.wire.frames import LENGTH_BYTES, Message, decode_payload, payload_length


@attrs.frozen(eq=False)
class OutgoingFrame:
    """An encoded frame to send.

    ``may_write`` is called right before the first byte is written; False drops the frame.
    """

    data: bytes
    may_write: Callable[[], bool]


@attrs.define(eq=False)
class ChannelMetrics:
    """Byte counters of frames, summed over all connections that share this object."""

    sent_bytes: int = 0
    received_bytes: int = 0


class FramedConnection:
    """Reads messages and writes frames in order, with at most one frame in the stream's buffer.

    ``on_message(connection, message)`` is called for each message and may call ``close``.
    ``on_closed(connection, reason)`` is called exactly once, when reading ends.
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
        """Start the task that reads messages."""
        self._stream.set_nodelay(True)
        self._reader = asyncio.get_running_loop().create_task(self._read())

    def send(self, frame: OutgoingFrame) -> None:
        """Queue a frame; it is written once the previous ones have been passed to the kernel."""
        self._queued.append(frame)
        if not self._writing:
            self._write_queued()

    def close(self, reason: str) -> None:
        """Close the connection; the first ``reason`` given is passed to ``on_closed``."""
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
                written.add_done_callback(self._on_write_done)
                return

    def _on_write_done(self, written: asyncio.Future) -> None:
        self._writing = False
        if not written.cancelled() and written.exception() is None:
            self._write_queued()

    async def _read(self) -> None:
        try:
            while await self._read_message():
                pass
        except StreamClosedError:
            pass
        finally:
            self._stream.close()
            self._queued.clear()
            self._on_closed(self, self._close_reason or "connection closed by the peer")

    async def _read_message(self) -> bool:
        header = await self._stream.read_bytes(LENGTH_BYTES)
        length = payload_length(header)
        if length.is_error():
            return self._reject(length.error.message)
        payload = await self._stream.read_bytes(length.ok)
        self._metrics.received_bytes += LENGTH_BYTES + len(payload)
        message = decode_payload(payload)
        if message.is_error():
            return self._reject(message.error.message)
        self._on_message(self, message.ok)
        return not self._close_reason  # drops frames still buffered after close()

    def _reject(self, reason: str) -> bool:
        self.close(f"garbage frame: {reason}")
        return False
