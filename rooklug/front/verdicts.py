"""The decision object's inputs and verdicts."""

import attrs

from rooklug.front.requests import GenerateBody, RequestHead
from rooklug.front.routing_view import FrontNode, ServingReplica


@attrs.frozen
class PlacementRequest:
    """One request to be placed. ``tried`` are ids of replicas it has already failed at.

    ``is_first_decision`` is True only once a request: a decision from the queue or for a
    retry earns no new share of a replica in slow start.
    """

    head: RequestHead
    body: GenerateBody
    tried: frozenset[str] = frozenset()
    is_first_decision: bool = True


@attrs.frozen
class QueueOutlook:
    """What a request would find in the queue. ``ahead``: requests served before it."""

    ahead: int
    has_capacity: bool


@attrs.frozen
class ServeAt:
    """Run ``model`` at ``replica``, until the monotonic time ``until``.

    ``spilled``: it counts towards what the region takes over from others.
    """

    replica: ServingReplica
    model: str
    until: float
    spilled: bool = False


@attrs.frozen
class RedirectTo:
    """Another front must take it."""

    front: FrontNode


@attrs.frozen
class Refuse:
    """It has not run and will not; come back in ``retry_after_s`` (whole seconds, 1 or more)."""

    code: str
    message: str
    retry_after_s: int


@attrs.frozen
class Wait:
    """Nothing is free now: queue it until the monotonic time ``until``."""

    until: float


@attrs.frozen
class ReadBody:
    """The head is good: read the body on."""


HeadVerdict = ReadBody | RedirectTo | Refuse
Verdict = ServeAt | RedirectTo | Refuse | Wait
