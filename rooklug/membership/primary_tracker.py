"""Tracks whether this core may act as the primary, and where the primary is."""

import attrs

from rooklug.model.internal_events import (
    PrimaryKnown,
    PrimaryLeaseExtended,
    PrimaryStarted,
)


@attrs.define
class PrimaryTracker:
    """Who is primary as far as this core knows, from the events of replication.

    ``epoch`` is that of this core's own term, and stays so until its next one: nodes take
    it as the proof that a core answered within that term. ``until`` is the monotonic time
    at which this core's own lease as the primary ends.
    """

    own_address: str
    epoch: int = 0
    is_primary: bool = False
    until: float = 0.0
    known_epoch: int = 0
    known_address: str = ""

    def acts(self, now: float) -> bool:
        """Return whether this core may answer as the primary at ``now``."""
        return self.is_primary and now < self.until

    def address(self, now: float) -> str:
        """Return where callers should go: the primary's address, or "" while unknown."""
        if self.is_primary:
            return self.own_address if self.acts(now) else ""
        return "" if self.known_address == self.own_address else self.known_address

    def start(self, event: PrimaryStarted) -> None:
        """Begin a term, which may act once its lease is announced, or go on in a new view."""
        if not self.is_primary:
            self.until = 0.0
        self.epoch = event.epoch
        self.is_primary = True

    def extend(self, event: PrimaryLeaseExtended) -> None:
        """Take a longer lease of the present term; one of another epoch is ignored."""
        if self.is_primary and event.epoch == self.epoch:
            self.until = max(self.until, event.until)

    def stop(self) -> None:
        """End the term; what was learned of a later primary stays."""
        self.is_primary = False
        self.until = 0.0
        if self.known_epoch < self.epoch:
            self.known_address = ""

    def learn(self, event: PrimaryKnown) -> None:
        """Remember where the primary is; an update of an older epoch is ignored."""
        if event.epoch < max(self.epoch, self.known_epoch):
            return
        self.known_epoch = event.epoch
        self.known_address = event.address
