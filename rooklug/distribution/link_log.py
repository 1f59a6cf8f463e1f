"""Logs which primary a node follows, and when its lease lapses or is granted again."""

import attrs

from rooklug.distribution.link_state import LinkState
from rooklug.engine import effects as fx
from rooklug.model.topics import CONFIGURATION, ZONES


@attrs.define
class LinkLog:
    """Compares the link with what was logged last; logs each change once."""

    state: LinkState
    _primary_address: str = ""
    _epoch: int = 0
    _lease_valid: bool = False

    def changes(self, now: float) -> list[fx.Effect]:
        """Return the log lines for what has changed since the last call."""
        return [*self._primary_change(), *self._lease_change(now)]

    def _primary_change(self) -> list[fx.Effect]:
        finder, epoch = self.state.finder, self.state.lease.epoch
        known = finder.address == self._primary_address and epoch == self._epoch
        if known or not finder.confirmed or not epoch:
            return []
        self._primary_address = finder.address
        self._epoch = epoch
        fields = {"address": finder.address, "epoch": epoch, "seeds": list(finder.seeds)}
        return [fx.Log("info", "following the primary", fields)]

    def _lease_change(self, now: float) -> list[fx.Effect]:
        valid = self.state.lease.valid(now)
        if valid == self._lease_valid or self.state.stopping:
            return []
        self._lease_valid = valid
        topics, finder = self.state.topics, self.state.finder
        fields = {
            "core": finder.address,
            "seeds": list(finder.seeds),
            "epoch": self.state.lease.epoch,
            "configuration": topics.version(CONFIGURATION).counter,
            "zones_counter": topics.version(ZONES).counter,
        }
        if valid:
            return [fx.Log("info", "node lease granted", fields)]
        return [fx.Log("warning", "node lease lapsed; serving under the last known state", fields)]
