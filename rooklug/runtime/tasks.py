"""Tasks that are kept until they end, and whose faults are logged."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

LogWriter = Callable[[str, str, dict[str, Any]], None]


class BackgroundTasks:
    """Starts tasks and holds them; an exception that ends one is logged as a fault."""

    def __init__(self, loop: asyncio.AbstractEventLoop, log: LogWriter) -> None:
        self._loop = loop
        self._log = log
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine) -> asyncio.Task:
        """Run a coroutine as a task."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        fields = {"traceback": "".join(traceback.format_exception(task.exception()))}
        self._log("error", "fault in a task of the runtime", fields)
