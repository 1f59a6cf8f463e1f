"""Relays before the advertised addresses: they delay, cut and silence TCP between machines.

A process listens on a hidden port; the relay listens at the address that others know and
tells the calling machine by its source IP. Bytes that meet a silent link wait and arrive
late when it heals, as TCP's own retransmission would have it. Two things differ from a
real network and both are pessimistic for the caller: a connection to a silenced machine
is accepted, and one to a cut machine is accepted and then closed.
"""

import asyncio
import logging
import socket

import attrs
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from rooklug_lab.fleet.link_rules import LinkRules, LinkState

CHUNK_BYTES = 65536
QUEUED_CHUNKS = 64
_HANDSHAKE_DELAYS = 2


@attrs.define(eq=False)
class _Chunk:
    """Bytes under way; empty ``data`` is the end of the stream."""

    data: bytes
    due_s: float


class _Direction:
    """One way of a relayed connection: a task that reads and one that writes."""

    def __init__(
        self,
        emulator: "LinkEmulator",
        source: tuple[IOStream, str],
        destination: tuple[IOStream, str],
        first_delays: int,
    ) -> None:
        self._emulator = emulator
        self._from, self._from_ip = source
        self._to, self._to_ip = destination
        self._extra_delays = first_delays
        self._queue: asyncio.Queue[_Chunk] = asyncio.Queue(QUEUED_CHUNKS)

    async def run(self) -> None:
        """Carry bytes until the source ends or either side breaks."""
        reading = asyncio.create_task(self._read())
        try:
            await self._write()
        finally:
            reading.cancel()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = self._emulator.rules.delay_s(self._from_ip, self._to_ip)
        while True:
            try:
                data = await self._from.read_bytes(CHUNK_BYTES, partial=True)
            except StreamClosedError:
                data = b""
            due_s = loop.time() + delay_s * (1 + self._extra_delays)
            self._extra_delays = 0
            await self._queue.put(_Chunk(data, due_s))
            if not data:
                return

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            chunk = await self._queue.get()
            wait_s = chunk.due_s - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            await self._emulator.until_not_silent(self._from_ip, self._to_ip)
            if not chunk.data:
                return
            try:
                await self._to.write(chunk.data)
            except StreamClosedError:
                return


class _Relay(TCPServer):
    """The relay before one advertised address."""

    def __init__(self, emulator: "LinkEmulator", advertised: str, hidden: str) -> None:
        super().__init__()
        self._emulator = emulator
        self._advertised_ip = advertised.partition(":")[0]
        self._hidden = hidden
        self.connections: dict[asyncio.Task, tuple[str, str, IOStream]] = {}
        ip, _, port = advertised.partition(":")
        self.add_sockets(bind_sockets(int(port), ip, socket.AF_INET))

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Relay a new connection in a task of its own."""
        task = asyncio.create_task(self._serve(stream, address[0]))
        self.connections[task] = (address[0], self._advertised_ip, stream)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        del self.connections[task]
        if not task.cancelled() and task.exception() is not None:
            logging.getLogger(__name__).error("relay failed", exc_info=task.exception())

    async def _serve(self, caller: IOStream, caller_ip: str) -> None:
        own_ip = self._advertised_ip
        server = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            if self._emulator.is_cut(caller_ip, own_ip):
                return
            await self._emulator.until_not_silent(caller_ip, own_ip)
            ip, _, port = self._hidden.partition(":")
            await server.connect((ip, int(port)))
            await self._carry((caller, caller_ip), (server, own_ip))
        except (StreamClosedError, OSError):
            return
        finally:
            caller.close()
            server.close()

    async def _carry(self, caller: tuple[IOStream, str], server: tuple[IOStream, str]) -> None:
        """Carry both ways until one way has ended."""
        there = _Direction(self._emulator, caller, server, _HANDSHAKE_DELAYS)
        back = _Direction(self._emulator, server, caller, 0)
        tasks = [asyncio.create_task(there.run()), asyncio.create_task(back.run())]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    def close_cut(self) -> None:
        """Close the connections whose link is cut now, in either direction."""
        for caller_ip, own_ip, stream in list(self.connections.values()):
            if self._emulator.is_cut(caller_ip, own_ip):
                stream.close()

    def close(self) -> None:
        """Stop listening and close every connection."""
        self.stop()
        for task in list(self.connections):
            task.cancel()


class LinkEmulator:
    """All relays of a fleet, under one set of rules."""

    def __init__(self, rules: LinkRules) -> None:
        self.rules = rules
        self._relays: dict[str, _Relay] = {}
        self._changed = asyncio.Event()
        rules.on_change = self._rules_changed

    def open(self, advertised: str, hidden: str) -> None:
        """Relay ``advertised`` to ``hidden``; a process that lives again takes calls again."""
        if advertised not in self._relays:
            self._relays[advertised] = _Relay(self, advertised, hidden)

    def close(self, advertised: str) -> None:
        """Refuse connections to ``advertised``, as the kernel does for a dead process."""
        relay = self._relays.pop(advertised, None)
        if relay is not None:
            relay.close()

    def close_all(self) -> None:
        """Close every relay."""
        for advertised in list(self._relays):
            self.close(advertised)

    def is_cut(self, one_ip: str, other_ip: str) -> bool:
        """Return whether the link is cut in either direction: TCP needs both."""
        states = (self.rules.state(one_ip, other_ip), self.rules.state(other_ip, one_ip))
        return LinkState.CUT in states

    async def until_not_silent(self, source_ip: str, destination_ip: str) -> None:
        """Wait until this direction is no longer silent."""
        while self.rules.state(source_ip, destination_ip) is LinkState.SILENT:
            await self._changed.wait()

    def _rules_changed(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        for relay in self._relays.values():
            relay.close_cut()
