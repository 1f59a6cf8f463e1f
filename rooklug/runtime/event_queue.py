"""The event queue of one host: events are handled one at a time, in order of arrival."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from rooklug.engine.effects import Effect
from rooklug.engine.events import Event

_EVENTS_PER_BATCH = 64
"""Events handled in a row before control returns to the event loop's other tasks."""


@attrs.frozen(eq=False)
class _QueuedEvent:
    event: Event
    is_wanted: Callable[[], bool] | None
    handled: asyncio.Future | None


class EventQueue:
    """Calls ``handle(event)`` for each delivered event, one at a time, until it is closed."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handle: Callable[[Event], list[Effect]]
    ) -> None:
        self._loop = loop
        self._handle = handle
        self._pending: deque[_QueuedEvent] = deque()
        self._batch_scheduled = False
        self._closed = False

    def deliver(
        self,
        event: Event,
        is_wanted: Callable[[], bool] | None = None,
        handled: asyncio.Future | None = None,
    ) -> None:
        """Queue an event.

        ``is_wanted`` is called just before the event would be handled; if it returns False, the
        event is dropped. ``handled`` is resolved with the effects of the event, with an empty
        list if it was dropped.
        """
        self._pending.append(_QueuedEvent(event, is_wanted, handled))
        self._schedule_batch()

    def close(self) -> None:
        """Drop the pending events and every event delivered later."""
        self._closed = True
        while self._pending:
            _resolve(self._pending.popleft(), [])

    def _schedule_batch(self) -> None:
        if not self._batch_scheduled:
            self._batch_scheduled = True
            self._loop.call_soon(self._handle_batch)

    def _handle_batch(self) -> None:
        self._batch_scheduled = False
        for _ in range(_EVENTS_PER_BATCH):
            if not self._pending:
                return
            queued = self._pending.popleft()
            _resolve(queued, self._handle_if_wanted(queued))
        if self._pending:
            self._schedule_batch()

    def _handle_if_wanted(self, queued: _QueuedEvent) -> list[Effect]:
        if self._closed or not (queued.is_wanted is None or queued.is_wanted()):
            return []
        return self._handle(queued.event)


def _resolve(queued: _QueuedEvent, effects: list[Effect]) -> None:
    if queued.handled is not None and not queued.handled.done():
        queued.handled.set_result(effects)
