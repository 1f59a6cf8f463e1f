"""Hosts for tests: reducers built from a function, on free ports, and waits for their events."""

import asyncio
import io
from collections.abc import Callable

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.runtime.host import Host

LOCAL = "127.0.0.1:0"
TEST_LIMIT_S = 20.0


class FunctionReducer:
    """Records every event and returns the effects of ``respond(event)``."""

    def __init__(self, respond: Callable | None = None, head_first: tuple[str, ...] = ()) -> None:
        self.head_first_paths = head_first
        self.events: list[ev.Event] = []
        self.respond = respond or (lambda event: [])
        self._changed = asyncio.Condition()
        self._waiters: list[tuple[Callable, asyncio.Future]] = []

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        self.events.append(event)
        for matches, future in self._waiters:
            if not future.done() and matches(event):
                future.set_result(event)
        return self.respond(event)

    def metrics(self, now: float) -> list:
        return []

    async def wait_for(self, event_type: type, **fields: object) -> ev.Event:
        """Return the first event of that type with those field values; wait for it if needed."""

        def matches(event: ev.Event) -> bool:
            if not isinstance(event, event_type):
                return False
            return all(getattr(event, name) == value for name, value in fields.items())

        for event in self.events:
            if matches(event):
                return event
        future = asyncio.get_running_loop().create_future()
        self._waiters.append((matches, future))
        return await asyncio.wait_for(future, TEST_LIMIT_S)

    def of_type(self, event_type: type) -> list[ev.Event]:
        return [event for event in self.events if isinstance(event, event_type)]


class HostCase:
    """Mixin for ``IsolatedAsyncioTestCase``: starts hosts and stops them after the test."""

    async def start_host(self, reducer: FunctionReducer, **options: object) -> Host:
        settings = {"listen_internal": LOCAL, "listen_http": LOCAL, "node_id": "node"}
        log = io.StringIO()
        host = Host(reducer, **{**settings, "log_stream": log, **options})
        host.log_text = log
        await host.start()
        self.addAsyncCleanup(self._stop_host, host)
        return host

    async def _stop_host(self, host: Host) -> None:
        host.kill()
        await host.stopped()


def execute(host: Host, *effects: fx.Effect) -> None:
    """Execute effects at a host, as if its reducer had returned them."""
    for effect in effects:
        host._execute(effect)


async def raw_exchange(address: str, data: bytes) -> bytes:
    """Send bytes to a port; return all bytes received until the server closes."""
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), TEST_LIMIT_S)
    finally:
        writer.close()
