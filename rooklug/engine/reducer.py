"""The reducer: the interface between a role and the runtime that drives it."""

from collections.abc import Callable, Iterable
from itertools import count
from random import Random
from typing import Protocol

import attrs

from rooklug.engine.effects import Effect
from rooklug.engine.events import Event


@attrs.frozen
class MetricSample:
    """One sample for ``GET /metrics``; ``kind`` is "counter" or "gauge"."""

    name: str
    value: float
    kind: str
    help: str
    labels: dict[str, str] = attrs.field(factory=dict)


class Reducer(Protocol):
    """A role as a deterministic state machine: handles events and returns effects.

    It reads no clock, does no I/O and takes random numbers only from the generator it was given.
    Requests to paths that start with one of ``head_first_paths`` are delivered before their body
    is read.
    """

    head_first_paths: tuple[str, ...]

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event at monotonic time ``now`` (seconds); return the effects in order."""
        ...

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the current metric samples; called on the same thread as ``handle``."""
        ...


@attrs.define
class Identifiers:
    """Issues call ids and tickets that are unique in one process, across its components."""

    _counter: count = attrs.field(factory=lambda: count(1))

    def next(self) -> int:
        """Return the next identifier, counted from 1."""
        return next(self._counter)


@attrs.define
class ProcessContext:
    """Identity and shared services of a process, passed to all its components.

    ``incarnation`` differs between two runs of the same node. ``wall_clock_ms`` returns
    milliseconds since 1970; it is for display only and no decision may depend on it.
    """

    node_id: str
    incarnation: str
    random: Random
    identifiers: Identifiers
    wall_clock_ms: Callable[[], int] = attrs.field(default=lambda: 0)
