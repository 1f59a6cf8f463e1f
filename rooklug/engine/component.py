"""Components, of which roles are assembled, and the internal events between them."""

from collections.abc import Iterable
from typing import Protocol

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import MetricSample


@attrs.frozen
class InternalEvent(ev.Event):
    """Base class of events between components of one process; they never leave the process."""


@attrs.frozen
class EmitEvent(fx.Effect):
    """Deliver ``event`` to every component that subscribes to its type.

    The composite reducer executes this effect itself and does not pass it on to the runtime.
    """

    event: InternalEvent


class Component(Protocol):
    """A part of a role with one responsibility, its own state and its own timers.

    Every component receives ``Started`` and ``StopRequested``, and the results of the calls,
    writes, computations and timers that it started itself.

    Attributes
    ----------
    name
        Unique in the process; it prefixes the names of the component's timers.
    http_prefixes
        Prefixes of the HTTP paths that it serves on the main listener; the longest match wins.
    http_listeners
        Names of the listeners whose requests it serves, whatever their path.
    head_first_paths
        Path prefixes whose requests are delivered before the body is read.
    call_types
        Types of the thrift requests that it answers; each type belongs to one component.
    subscribes_to
        Types of internal events that it receives, subclasses included.
    """

    @property
    def name(self) -> str: ...  # noqa: D102 - described in the class docstring

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
        """Handle one event at monotonic time ``now`` (seconds); return the effects in order."""
        ...

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the current metric samples."""
        ...


class BaseComponent:
    """A component without endpoints and subscriptions; subclasses override what they need."""

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
