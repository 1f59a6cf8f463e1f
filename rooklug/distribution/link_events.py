"""Internal events that the core link emits, or that its methods emit to it."""

import attrs

from rooklug.engine.component import InternalEvent


@attrs.frozen
class LeaseReleased(InternalEvent):
    """The stopping node has released its lease and grants, or has given up trying.

    ``confirmed``: the primary has acknowledged the release; otherwise they end by expiry.
    """

    confirmed: bool


@attrs.frozen
class RenewalRequested(InternalEvent):
    """A flag of the node has changed or a role can move; the lease is renewed immediately."""


@attrs.frozen
class PublicationQueued(InternalEvent):
    """The outbox has a new publication, which the core link sends."""
