"""Reads configuration documents outside the event loop, one at a time, always the newest."""

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
    """Has the newest configuration that could be read, and its version."""

    read: ReadConfiguration
    identifiers: Identifiers
    configuration: Configuration | None = None
    version: int = 0
    _ticket: int | None = None
    _version_in_progress: int = 0
    _next: ConfigurationBody | None = None

    def take(self, body: ConfigurationBody) -> list[fx.Effect]:
        """Read ``body`` now, or after the one that is being read."""
        if self._ticket is not None:
            self._next = body
            return []
        self._version_in_progress = body.version
        self._ticket = self.identifiers.next()
        return [fx.Compute(self._ticket, self.read, body.document)]

    def owns(self, event: ev.Computed) -> bool:
        """Return whether ``event`` ends this reader's computation."""
        return self._ticket is not None and event.ticket == self._ticket

    def computed(self, event: ev.Computed) -> tuple[bool, list[fx.Effect]]:
        """Take a document that was read; return whether it is in force now."""
        version, self._ticket = self._version_in_progress, None
        effects: list[fx.Effect] = []
        readable = not event.error and event.result.is_ok()
        if readable:
            self.configuration = event.result.ok
            self.version = version
        else:
            problem = event.error or str(event.result.error)
            fields = {"version": version, "problem": problem}
            effects.append(fx.Log("error", "configuration not readable, the last stands", fields))
        if self._next is not None:
            following, self._next = self._next, None
            effects += self.take(following)
        return readable, effects
