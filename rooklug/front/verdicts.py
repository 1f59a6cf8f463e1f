"""Inputs and verdicts of ``Decision`` and, for headers, of the once-only decision."""

import attrs

from rooklug.front.requests import GenerateBody, RequestHead
from rooklug.front.routing_view import FrontNode, ServingReplica


@attrs.frozen
class PlacementRequest:
    """One request to be placed. ``tried`` are the ids of replicas where an attempt has failed.

    ``is_first_decision`` is True only for the first decision on a request: later ones, from the
    queue or for a retry, must not earn another share for replicas in slow start.
    """

    head: RequestHead
    body: GenerateBody
    tried: frozenset[str] = frozenset()
    is_first_decision: bool = True


@attrs.frozen
class QueueOutlook:
    """What a request would find in the queue.

    ``ahead`` is the number of queued requests that would be served before it.
    """

    ahead: int
    has_capacity: bool


@attrs.frozen
class ServeAt:
    """Run the request at ``replica`` with ``model``, at most until the monotonic time ``until``.

    ``spilled``: it counts towards the limit of traffic spilled into the replica's region.
    """

    replica: ServingReplica
    model: str
    until: float
    spilled: bool = False


@attrs.frozen
class RedirectTo:
    """Redirect the caller to another front."""

    front: FrontNode


@attrs.frozen
class Refuse:
    """Don't run the request; the caller may retry after ``retry_after_s`` (whole, at least 1)."""

    code: str
    message: str
    retry_after_s: int


@attrs.frozen
class Wait:
    """No replica is free now: queue the request at most until the monotonic time ``until``."""

    until: float


@attrs.frozen
class ReadBody:
    """The headers are acceptable: read the body."""


HeadVerdict = ReadBody | RedirectTo | Refuse
Verdict = ServeAt | RedirectTo | Refuse | Wait
