"""Tracks whether this core may act as the primary, and where the primary is."""

import attrs

from rooklug.model.internal_events import (
    PrimaryChanged,
    PrimaryLeaseExtended,
    PrimaryStarted,
)


@attrs.define
class PrimaryTracker:
    """Which core is the primary, as far as this core knows from replication's events.

    ``epoch`` is the epoch of this core's latest term as the primary. A ``PrimaryChanged`` of
    another core doesn't change it: nodes take the epoch of an answer as proof that it was given
    in that term. ``lease_expires_at`` is the monotonic time at which this core's own lease as
    the primary ends. ``known_epoch`` and ``known_address`` are those of the latest primary that
    replication reported.
    """

    own_address: str
    epoch: int = 0
    is_primary: bool = False
    lease_expires_at: float = 0.0
    known_epoch: int = 0
    known_address: str = ""

    def is_active_primary(self, now: float) -> bool:
        """Return whether this core is the primary and its lease is valid at ``now``."""
        return self.is_primary and now < self.lease_expires_at

    def address(self, now: float) -> str:
        """Return the primary's address for redirects, or "" while it is unknown."""
        if self.is_primary:
            return self.own_address if self.is_active_primary(now) else ""
        return "" if self.known_address == self.own_address else self.known_address

    def start(self, event: PrimaryStarted) -> None:
        """Start a term, or continue it in a new view.

        A new term is inactive until its first ``PrimaryLeaseExtended``.
        """
        if not self.is_primary:
            self.lease_expires_at = 0.0
        self.epoch = event.epoch
        self.is_primary = True

    def extend(self, event: PrimaryLeaseExtended) -> None:
        """Extend the lease of the present term; an extension of another epoch is ignored."""
        if self.is_primary and event.epoch == self.epoch:
            self.lease_expires_at = max(self.lease_expires_at, event.until)

    def stop(self) -> None:
        """End the term; the address of a later primary stays known."""
        self.is_primary = False
        self.lease_expires_at = 0.0
        if self.known_epoch < self.epoch:
            self.known_address = ""

    def record_primary(self, event: PrimaryChanged) -> None:
        """Record the primary's address; a report of an older epoch is ignored."""
        if event.epoch < max(self.epoch, self.known_epoch):
            return
        self.known_epoch = event.epoch
        self.known_address = event.address
