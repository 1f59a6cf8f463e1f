"""The contract between a role and the runtime that drives it."""

from collections.abc import Callable, Iterable
from itertools import count
from random import Random
from typing import Protocol

import attrs

from rooklug.engine.effects import Effect
from rooklug.engine.events import Event


@attrs.frozen
class MetricSample:
    """One sample for ``GET /metrics``. ``kind`` is "counter" or "gauge"."""

    name: str
    value: float
    kind: str
    help: str
    labels: dict[str, str] = attrs.field(factory=dict)


class Reducer(Protocol):
    """A role: pure state that takes an event and returns effects.

    It reads no clock, opens nothing, draws randomness only from the generator it was
    given. ``head_first_paths`` are HTTP path prefixes announced from the head alone.
    """

    head_first_paths: tuple[str, ...]

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event at monotonic time ``now`` (seconds), return effects in order."""
        ...

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the metric samples of this moment; called from the same task as ``handle``."""
        ...


@attrs.define
class Identifiers:
    """Issues call ids and tickets, unique in one process and shared by its components."""

    _counter: count = attrs.field(factory=lambda: count(1))

    def next(self) -> int:
        """Return a new identifier."""
        return next(self._counter)


@attrs.define
class ProcessContext:
    """What every reducer of a process is built with.

    ``wall_clock_ms`` (milliseconds since 1970) is for display only: no decision rests on it.
    """

    node_id: str
    incarnation: str
    random: Random
    identifiers: Identifiers
    wall_clock_ms: Callable[[], int] = attrs.field(default=lambda: 0)
