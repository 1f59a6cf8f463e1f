"""Parses configuration documents outside the event loop, one at a time.

While one is being parsed, only the newest document that arrives is kept for the next run.
"""

from collections.abc import Callable
from typing import Any

import attrs
from expression import Result

from rooklug.config.document import Configuration
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers
from rooklug.wire.generated.control.ttypes import ConfigurationBody

ReadConfiguration = Callable[[bytes], Result[Configuration, Any]]


@attrs.define
class ConfigurationReader:
    """Holds the newest configuration that parsed without errors, and its version."""

    read: ReadConfiguration
    identifiers: Identifiers
    configuration: Configuration | None = None
    version: int = 0
    _ticket: int | None = None
    _version_in_progress: int = 0
    _next: ConfigurationBody | None = None

    def take(self, body: ConfigurationBody) -> list[fx.Effect]:
        """Start parsing ``body``, or queue it behind the document that is being parsed."""
        if self._ticket is not None:
            self._next = body
            return []
        self._version_in_progress = body.version
        self._ticket = self.identifiers.next()
        return [fx.Compute(self._ticket, self.read, body.document)]

    def owns(self, event: ev.Computed) -> bool:
        """Return whether ``event`` is the result of the parse in progress."""
        return self._ticket is not None and event.ticket == self._ticket

    def computed(self, event: ev.Computed) -> tuple[bool, list[fx.Effect]]:
        """Handle the end of a parse; return whether its configuration is now in force."""
        version, self._ticket = self._version_in_progress, None
        effects: list[fx.Effect] = []
        readable = not event.error and event.result.is_ok()
        if readable:
            self.configuration = event.result.ok
            self.version = version
        else:
            problem = event.error or str(event.result.error)
            fields = {"version": version, "problem": problem}
            effects.append(fx.Log("error", "configuration rejected; keeping the last one", fields))
        if self._next is not None:
            following, self._next = self._next, None
            effects += self.take(following)
        return readable, effects
