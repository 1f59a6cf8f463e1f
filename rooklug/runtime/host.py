"""Drives one reducer using sockets, disk and the system clock.

A host delivers events to its reducer one at a time and executes the effects in order. Several
hosts can run in one process, so no state is kept at module level.
"""

import asyncio
import socket
import traceback
from collections.abc import Awaitable, Callable
from itertools import count
from typing import Any, TextIO

from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Reducer
from rooklug.runtime.addresses import bound_address, split_address
from rooklug.runtime.compute_pool import ComputePool
from rooklug.runtime.disk import Disk
from rooklug.runtime.event_queue import EventQueue
from rooklug.runtime.http_client import HttpClient
from rooklug.runtime.http_server import SERVER_EFFECTS, HttpPort
from rooklug.runtime.log import NodeLog
from rooklug.runtime.metrics import render_metrics
from rooklug.runtime.process_metrics import ProcessMetrics
from rooklug.runtime.rpc_client import RpcClient
from rooklug.runtime.rpc_server import RpcServer
from rooklug.runtime.timers import Timers
from rooklug.storage.folder import FolderContents, FolderError, open_folder
from rooklug.wire.channel import ChannelMetrics

EXIT_OK = 0
EXIT_BROKEN_INVARIANT = 70
DEFAULT_STOP_GRACE_S = 30.0

_FIRST_ARRIVAL_ID = 1 << 40
"""First id of incoming requests, far above the ids that a reducer issues itself (from 1)."""
_DISK_CLOSE_TIMEOUT_S = 5.0
_FLUSH_TIMEOUT_S = 2.0
_LISTEN_BACKLOG = 1024


class DataFolderRefusedError(Exception):
    """The data folder belongs to another node, is in use or is unusable; see ``error``."""

    def __init__(self, error: FolderError) -> None:
        super().__init__(error.message)
        self.error = error


class Host:
    """Runs one reducer: ``await start()``, then ``await stopped()`` returns the exit code.

    An exception raised by the reducer or while its effects are executed counts as a broken
    invariant: it is logged, and the host stops with ``EXIT_BROKEN_INVARIANT``.

    Parameters
    ----------
    listen_internal, listen_http
        Addresses "ip:port" to listen on; "" to not listen, port 0 for any free port.
    listeners
        Additional HTTP addresses to listen on, by the listener name set on their requests.
    bind_ip
        Source IP of outgoing connections, "" for any.
    data_folder, memory_only
        Where records are stored. Without a folder each write fails, except with
        ``memory_only``: then it is acknowledged, and the state is lost with the process.
    stop_grace_s
        Seconds from ``request_stop`` until a reducer that hasn't stopped is stopped.
    """

    def __init__(
        self,
        reducer: Reducer,
        *,
        listen_internal: str,
        listen_http: str,
        listeners: dict[str, str] | None = None,
        bind_ip: str = "",
        data_folder: str = "",
        memory_only: bool = False,
        node_id: str = "",
        log_level: str = "info",
        log_stream: TextIO | None = None,
        stop_grace_s: float = DEFAULT_STOP_GRACE_S,
    ) -> None:
        self.reducer = reducer
        self.internal_address = ""
        self.http_address = ""
        self.log = NodeLog(node_id, log_level, log_stream)
        self._listen_internal = listen_internal
        self._listen_http = listen_http
        self._listeners = listeners or {}
        self._bind_ip = bind_ip
        self._data_folder = data_folder
        self._memory_only = memory_only
        self._node_id = node_id
        self._stop_grace_s = stop_grace_s
        self._running = False
        self._stop_requested = False
        self._metrics = ProcessMetrics()

    @property
    def channel(self) -> ChannelMetrics:
        """Byte counters of this host's internal channel, both directions."""
        return self._metrics.channel

    async def start(self) -> None:
        """Listen on the ports, open the data folder, then deliver ``Started``.

        Raises
        ------
        DataFolderRefusedError
            The data folder belongs to another node, is in use or is unusable.
        OSError
            A port is in use, or an address does not belong to this machine.
        """
        self._loop = asyncio.get_running_loop()
        self._queue = EventQueue(self._loop, self._handle)
        self._deliver = self._queue.deliver
        self._exit_code: asyncio.Future[int] = self._loop.create_future()
        self._closing: asyncio.Task | None = None
        self._build_drivers()
        self._execute_by_type = self._effect_table()
        self._listen()
        try:
            contents = self._open_disk()
        except DataFolderRefusedError:
            await self._close_ports()
            raise
        self._running = True
        self._deliver(ev.Started(contents.records, contents.disk_identity, contents.problem))

    def request_stop(self) -> None:
        """Deliver ``StopRequested``; repeated calls are ignored.

        A reducer that hasn't stopped ``stop_grace_s`` seconds later is stopped by the host.
        """
        if not self._running or self._stop_requested:
            return
        self._stop_requested = True
        self._deliver(ev.StopRequested())
        self._loop.call_later(self._stop_grace_s, self._on_stop_grace_expired)

    async def stopped(self) -> int:
        """Wait until the host has stopped and closed its resources; return the exit code."""
        code = await asyncio.shield(self._exit_code)
        if self._closing is not None:
            await self._closing
        return code

    def kill(self) -> None:
        """Stop immediately, as a crash would: nothing more is delivered or executed."""
        self._stop(EXIT_OK)

    def _build_drivers(self) -> None:
        arrival_ids = count(_FIRST_ARRIVAL_ID)
        write_log = self.log.write
        channel = self._metrics.channel
        self._timers = Timers(self._loop, self._on_timer_due)
        self._compute_pool = ComputePool(self._loop, self._deliver)
        self._rpc_client = RpcClient(
            self._loop, self._node_id, self._bind_ip, self._deliver, write_log, channel
        )
        self._rpc_server = RpcServer(self._node_id, arrival_ids, self._deliver, write_log, channel)
        self._http_client = HttpClient(
            self._loop, self._bind_ip, self._deliver_http_call_event, write_log
        )
        self._http_port = HttpPort(
            arrival_ids, self.reducer.head_first_paths, self._deliver, self._render_metrics
        )

    # Events ---------------------------------------------------------------

    def _deliver_http_call_event(
        self, event: ev.Event, is_wanted: Callable[[], bool]
    ) -> Awaitable[None] | None:
        """Deliver an event of an outgoing HTTP call.

        For a body chunk, the awaitable returned is done once every response stream that the chunk
        was forwarded to can accept more data. This backpressure makes a slow caller slow down its
        replica's stream instead of filling this process's memory.
        """
        if not isinstance(event, ev.HttpBodyChunk):
            self._deliver(event, is_wanted)
            return None
        handled = self._loop.create_future()
        self._deliver(event, is_wanted, handled)
        return self._wait_until_writable(handled)

    async def _wait_until_writable(self, handled: asyncio.Future) -> None:
        for request_id in _written_stream_ids(await handled):
            writable = self._http_port.writable(request_id)
            if writable is not None:
                await writable

    def _on_timer_due(self, name: str, is_current: Callable[[], bool]) -> None:
        self._deliver(ev.TimerFired(name), is_current)

    def _handle(self, event: ev.Event) -> list[fx.Effect]:
        self._metrics.events_handled += 1
        try:
            effects = self.reducer.handle(event, self._loop.time())
            for effect in effects:
                self._execute(effect)
        except Exception:  # of any type: the reducer's state can no longer be trusted
            self._on_broken_invariant(event)
            return []
        return effects

    def _on_broken_invariant(self, event: ev.Event) -> None:
        fields = {"event": type(event).__name__, "traceback": traceback.format_exc()}
        self.log.write("critical", "broken invariant", fields)
        self._stop(EXIT_BROKEN_INVARIANT)

    # Effects --------------------------------------------------------------

    def _effect_table(self) -> dict[type, Callable[[Any], None]]:
        table: dict[type, Callable[[Any], None]] = {
            fx.StartTimer: self._timers.start,
            fx.CancelTimer: self._timers.cancel,
            fx.Call: self._rpc_client.start,
            fx.Answer: self._rpc_server.answer,
            fx.WriteRecords: lambda effect: self._disk.submit(effect),
            fx.RewriteFile: lambda effect: self._disk.submit(effect),
            fx.Compute: self._compute_pool.start,
            fx.HttpCall: self._http_client.start,
            fx.CancelHttpCall: lambda effect: self._http_client.cancel(effect.call_id),
            fx.Log: lambda effect: self.log.write(effect.level, effect.message, effect.fields),
            fx.StopProcess: self._stop_process,
        }
        table.update(dict.fromkeys(SERVER_EFFECTS, self._http_port.execute))
        return table

    def _execute(self, effect: fx.Effect) -> None:
        if self._running:
            self._execute_by_type[type(effect)](effect)

    def _stop_process(self, effect: fx.StopProcess) -> None:
        fields = {"reason": effect.reason, "exit_code": effect.exit_code}
        self.log.write("info", "stopping", fields)
        self._stop(effect.exit_code, _FLUSH_TIMEOUT_S)

    def _render_metrics(self) -> bytes:
        samples = [
            *self.reducer.metrics(self._loop.time()),
            *self._metrics.samples(),
            *self._http_client.samples(),
        ]
        return render_metrics(samples)

    # Start and stop -------------------------------------------------------

    def _listen(self) -> None:
        try:
            self.internal_address = _listen_on(self._rpc_server, self._listen_internal)
            self.http_address = _listen_on(self._http_port.server, self._listen_http)
            for name, address in self._listeners.items():
                _listen_on(self._http_port.listener(name), address)
        except OSError:
            self._rpc_server.stop()
            raise

    def _open_disk(self) -> FolderContents:
        if not self._data_folder:
            self._disk = Disk(self._loop, None, self._deliver, memory_only=self._memory_only)
            return FolderContents("", "", {})
        opened = open_folder(self._data_folder, self._node_id)
        if opened.is_error():
            raise DataFolderRefusedError(opened.error)
        folder, contents = opened.ok
        self._disk = Disk(self._loop, folder, self._deliver)
        return contents

    def _on_stop_grace_expired(self) -> None:
        if self._running:
            self.log.write("warning", "grace period over; stopping the reducer now", {})
            self._stop(EXIT_OK)

    def _stop(self, exit_code: int, flush_timeout_s: float = 0.0) -> None:
        if not self._running:
            return
        self._running = False
        self._timers.close()
        self._rpc_client.close()
        self._http_client.close()
        self._disk.close()
        self._compute_pool.close()
        self._queue.close()
        self._closing = self._loop.create_task(self._close(flush_timeout_s))
        self._exit_code.set_result(exit_code)

    async def _close(self, flush_timeout_s: float) -> None:
        self._http_port.stop()
        await self._http_port.flush(flush_timeout_s)
        await self._close_ports()
        if not await self._disk.wait_closed(_DISK_CLOSE_TIMEOUT_S):
            fields = {"limit_s": _DISK_CLOSE_TIMEOUT_S}
            self.log.write(
                "error", "disk writes unfinished at the limit; not waiting longer", fields
            )

    async def _close_ports(self) -> None:
        self._rpc_server.stop()
        self._rpc_server.close_connections()
        self._http_port.stop()
        await self._http_port.close()


def _listen_on(server: TCPServer, address: str) -> str:
    """Bind ``server`` to "ip:port"; return the address bound, or "" if ``address`` is ""."""
    if not address:
        return ""
    ip, port = split_address(address)
    sockets = bind_sockets(port, ip, socket.AF_INET, _LISTEN_BACKLOG)
    server.add_sockets(sockets)
    return bound_address(sockets)


def _written_stream_ids(effects: list[fx.Effect]) -> tuple[int, ...]:
    return tuple(effect.request_id for effect in effects if isinstance(effect, fx.HttpStreamChunk))
