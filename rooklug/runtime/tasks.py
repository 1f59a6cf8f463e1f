"""Background asyncio tasks whose exceptions are logged."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

LogWriter = Callable[[str, str, dict[str, Any]], None]


class BackgroundTasks:
    """Starts tasks and keeps a reference to each: asyncio itself holds only weak references.

    An exception that ends a task is a bug and is logged with its traceback.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, log: LogWriter) -> None:
        self._loop = loop
        self._log = log
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine) -> asyncio.Task:
        """Run a coroutine as a task; cancel the returned task to stop it."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        fields = {"traceback": "".join(traceback.format_exception(task.exception()))}
        self._log("error", "unhandled exception in a runtime task", fields)
