"""What a role is made of: components with one job each, and the events between them."""

from collections.abc import Iterable
from typing import Protocol

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import MetricSample


@attrs.frozen
class InternalEvent(ev.Event):
    """Base of the events that components of one process send each other."""


@attrs.frozen
class EmitEvent(fx.Effect):
    """Deliver ``event`` to every component that subscribes to its type.

    The composite reducer carries it out; a runtime never sees it.
    """

    event: InternalEvent


class Component(Protocol):
    """One job inside a role, with its own state and timers.

    Every component gets ``Started`` and ``StopRequested``, and the results of the calls,
    writes, computations and timers that it began itself.

    Attributes
    ----------
    name
        Unique in the process.
    http_prefixes
        HTTP paths that it serves on the main listener.
    http_listeners
        Named listeners whose every request it serves.
    head_first_paths
        Paths among them whose requests are announced from the head alone.
    call_types
        Thrift requests that it answers; one component a type.
    subscribes_to
        Types of internal events that it receives, subclasses included.
    """

    @property
    def name(self) -> str: ...  # noqa: D102 - the attributes are described above

    @property
    def http_prefixes(self) -> tuple[str, ...]: ...  # noqa: D102

    @property
    def http_listeners(self) -> tuple[str, ...]: ...  # noqa: D102

    @property
    def head_first_paths(self) -> tuple[str, ...]: ...  # noqa: D102

    @property
    def call_types(self) -> tuple[type, ...]: ...  # noqa: D102

    @property
    def subscribes_to(self) -> tuple[type, ...]: ...  # noqa: D102

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event at monotonic time ``now`` (seconds), return effects in order."""
        ...

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the metric samples of this moment."""
        ...


class BaseComponent:
    """A component that serves nothing; subclasses override what they need."""

    name = ""
    http_prefixes: tuple[str, ...] = ()
    http_listeners: tuple[str, ...] = ()
    head_first_paths: tuple[str, ...] = ()
    call_types: tuple[type, ...] = ()
    subscribes_to: tuple[type, ...] = ()

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Ignore the event."""
        return []

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return no samples."""
        return ()
