"""Internal events from and to the core link."""

import attrs

from rooklug.engine.component import InternalEvent


@attrs.frozen
class LeaseReleased(InternalEvent):
    """After ``StopRequested``: the lease and all grants are released, or no core answers.

    ``confirmed``: the primary has acknowledged it; else they end with the lease.
    """

    confirmed: bool


@attrs.frozen
class RenewSoon(InternalEvent):
    """The node's record has changed; the core link renews its lease immediately."""


@attrs.frozen
class PublicationQueued(InternalEvent):
    """A publication is queued in the core link's outbox."""
