"""The event queue of one host: events are handled one at a time, in order of arrival."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from rooklug.engine.effects import Effect
from rooklug.engine.events import Event

_EVENTS_PER_TURN = 64
"""After so many events the loop runs its other tasks."""


@attrs.frozen(eq=False)
class _QueuedEvent:
    event: Event
    is_wanted: Callable[[], bool] | None
    handled: asyncio.Future | None


class EventQueue:
    """Calls ``handle(event)`` for each event, until it is closed."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handle: Callable[[Event], list[Effect]]
    ) -> None:
        self._loop = loop
        self._handle = handle
        self._pending: deque[_QueuedEvent] = deque()
        self._turn_scheduled = False
        self._closed = False

    def deliver(
        self,
        event: Event,
        is_wanted: Callable[[], bool] | None = None,
        handled: asyncio.Future | None = None,
    ) -> None:
        """Queue an event.

        ``is_wanted`` is asked when its turn comes; an unwanted event is dropped. ``handled``
        gets the effects that it caused, none when it was dropped.
        """
        self._pending.append(_QueuedEvent(event, is_wanted, handled))
        self._schedule_turn()

    def close(self) -> None:
        """Drop the pending events and all later ones."""
        self._closed = True
        while self._pending:
            _resolve(self._pending.popleft(), [])

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self._loop.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._turn_scheduled = False
        for _ in range(_EVENTS_PER_TURN):
            if not self._pending:
                return
            queued = self._pending.popleft()
            _resolve(queued, self._effects_of(queued))
        if self._pending:
            self._schedule_turn()

    def _effects_of(self, queued: _QueuedEvent) -> list[Effect]:
        if self._closed or not (queued.is_wanted is None or queued.is_wanted()):
            return []
        return self._handle(queued.event)


def _resolve(queued: _QueuedEvent, effects: list[Effect]) -> None:
    if queued.handled is not None and not queued.handled.done():
        queued.handled.set_result(effects)
