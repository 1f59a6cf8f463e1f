"""Wraps a hollow node's reducer: counts its processor time, messages and changes in force."""

import time
from collections import Counter
from collections.abc import Callable, Iterable
from threading import Lock
from typing import Any

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import MetricSample, Reducer


@attrs.define
class SharedComputations:
    """Results of pure functions, computed once for all nodes of a process.

    ``seconds`` is what each node would have spent by itself, summed over all that asked.
    """

    _results: dict[tuple[Callable, Any], tuple[Any, float]] = attrs.field(factory=dict)
    seconds: float = 0.0
    limit: int = 64
    _lock: Lock = attrs.field(factory=Lock)

    def run(self, function: Callable[[Any], Any], argument: Any) -> Any:
        """Return ``function(argument)``."""
        key = (function, argument)
        with self._lock:
            if key not in self._results:
                self._results[key] = self._computed(function, argument)
            result, seconds = self._results[key]
            self.seconds += seconds
        return result

    def _computed(self, function: Callable[[Any], Any], argument: Any) -> tuple[Any, float]:
        begun = time.thread_time()
        result = function(argument)
        while len(self._results) >= self.limit:
            del self._results[next(iter(self._results))]
        return result, time.thread_time() - begun


class TimedReducer:
    """Delivers to ``reducer`` unchanged, and keeps the figures of one hollow node.

    ``version`` names the configuration that the node serves under.
    """

    def __init__(
        self, reducer: Reducer, shared: SharedComputations, version: Callable[[], int]
    ) -> None:
        self.reducer = reducer
        self.head_first_paths = reducer.head_first_paths
        self.reducer_s = 0.0
        self.events: Counter = Counter()
        self.messages: Counter = Counter()
        self.in_force: dict[int, float] = {}
        self.started_at = 0.0
        self._shared = shared
        self._version = version

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        if isinstance(event, ev.Started):
            self.started_at = time.monotonic()
        begun = time.thread_time()
        effects = self.reducer.handle(event, now)
        self.reducer_s += time.thread_time() - begun
        self.events[type(event).__name__] += 1
        self._note_version()
        return [self._counted(effect) for effect in effects]

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the node's own figures."""
        return self.reducer.metrics(now)

    def _note_version(self) -> None:
        version = self._version()
        if version and version not in self.in_force:
            self.in_force[version] = time.monotonic()

    def _counted(self, effect: fx.Effect) -> fx.Effect:
        if isinstance(effect, fx.Call):
            self.messages[type(effect.request).__name__] += 1
        elif isinstance(effect, fx.Compute):
            function = effect.function
            return attrs.evolve(
                effect, function=lambda argument: self._shared.run(function, argument)
            )
        return effect
