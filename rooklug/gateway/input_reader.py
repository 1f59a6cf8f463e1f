"""The border between input from outside and the reducer's state.

An exception within the reducer ends the process, because its state can no longer be trusted. The
functions that read input from outside own no state: they are called through an ``InputReader``,
and an exception there costs only the input that caused it.
"""

import traceback
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from rooklug.engine import effects as fx
from rooklug.engine.reducer import MetricSample

Value = TypeVar("Value")


class InputReader(Generic[Value]):
    """Calls ``read`` for one kind of input; ``rejected`` is the result if it raises.

    A reader is meant to return what it can't accept as such a result, so an exception is a bug:
    each is counted, and the first one of the process is logged with its cause.
    """

    def __init__(self, source: str, read: Callable[[Any], Value], rejected: Value) -> None:
        self._source = source
        self._read = read
        self._rejected = rejected
        self._failures = 0
        self._unlogged: list[fx.Effect] = []

    def read(self, value: Any) -> Value:
        """Return what the reader returns for ``value``."""
        try:
            return self._read(value)
        except Exception:  # of any type: a bug in the reader, which has changed no state
            self._failures += 1
            if self._failures == 1:
                fields = {"source": self._source, "traceback": traceback.format_exc()}
                self._unlogged.append(fx.Log("error", "reader of input raised", fields))
            return self._rejected

    def take_logs(self) -> list[fx.Effect]:
        """Return the log lines that have not been taken yet."""
        logs, self._unlogged = self._unlogged, []
        return logs

    def metrics(self) -> list[MetricSample]:
        """Return how often the reader raised."""
        return [
            MetricSample(
                "gateway_input_reader_failures_total",
                float(self._failures),
                "counter",
                "inputs rejected because their reader raised",
                {"source": self._source},
            )
        ]
