"""Thread pool for the ``Compute`` effect: runs pure functions off the event loop."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from rooklug.engine.effects import Compute
from rooklug.engine.events import Computed, Event

_THREADS = 2


class ComputePool:
    """Runs functions on threads, created at first use, and delivers the results as events."""

    def __init__(self, loop: asyncio.AbstractEventLoop, deliver: Callable[[Event], None]) -> None:
        self._loop = loop
        self._deliver = deliver
        self._executor: ThreadPoolExecutor | None = None

    def start(self, effect: Compute) -> None:
        """Run the effect's function; delivers ``Computed`` with the result or the error text."""
        if self._executor is None:
            self._executor = ThreadPoolExecutor(_THREADS, "compute")
        future = self._loop.run_in_executor(self._executor, effect.function, effect.argument)
        future.add_done_callback(lambda done: self._on_done(effect.ticket, done))

    def close(self) -> None:
        """Cancel the functions that haven't started; running ones are not waited for."""
        if self._executor is not None:
            self._executor.shutdown(wait=False, cancel_futures=True)

    def _on_done(self, ticket: int, done: asyncio.Future) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self._deliver(Computed(ticket, done.result()))
        else:
            self._deliver(Computed(ticket, None, f"{type(error).__name__}: {error}"))
