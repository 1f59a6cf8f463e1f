"""Events from and to the core link."""

import attrs

from rooklug.engine.component import InternalEvent


@attrs.frozen
class LeaseGivenBack(InternalEvent):
    """After ``StopRequested``: the lease and all grants are given back, or nobody answers.

    ``confirmed``: the primary has said so; else it learns by the end of the lease.
    """

    confirmed: bool


@attrs.frozen
class RenewSoon(InternalEvent):
    """What the node says of itself has changed; the core link renews its lease at once."""


@attrs.frozen
class PublicationQueued(InternalEvent):
    """A publication waits in the core link's outbox."""
