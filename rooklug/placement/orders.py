"""Inputs and orders of the move executor, as plain values."""

import attrs

from rooklug.placement.problem import RouteShare


@attrs.frozen
class SlotReport:
    """What is known of a replica from its last report.

    ``serving`` is False for one that is unhealthy or draining: it counts for nothing and
    gets no load. A replica that isn't reported at all is gone.
    """

    replica_id: str
    incarnation: str
    region: str
    resource: str
    resource_units: float
    loaded: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()
    serving: bool = True


@attrs.frozen
class Load:
    """Load ``model`` on replica ``slot``. The same ``order_id`` again is the same order."""

    slot: str
    model: str
    order_id: str


@attrs.frozen
class Unload:
    """Unload ``model`` from replica ``slot``, also while it is still loading."""

    slot: str
    model: str
    order_id: str


@attrs.frozen
class PublishWeights:
    """Publish the routing matrix and the models each replica should serve.

    Every cell leads to a region where some replica serves the model now.
    """

    sequence: int
    matrix: tuple[RouteShare, ...]
    intended: dict[str, tuple[str, ...]]


Order = Load | Unload | PublishWeights


@attrs.frozen
class MoveDecision:
    """One decision of the executor, tied to what caused it."""

    kind: str
    cause: str
    summary: str


@attrs.frozen
class MoveSettings:
    """Limits and time-outs of the executor; times in seconds.

    ``drain_s`` is from the published withdrawal of a model to its unload: time for every
    front to see it and for running requests to end. With ``needs_confirmation`` it counts
    from ``MoveExecutor.weights_published`` instead of from the order to publish.
    """

    max_loading: int = 2
    load_timeout_factor: float = 3.0
    drain_s: float = 6.0
    resend_s: float = 2.0
    avoid_s: float = 30.0
    avoid_limit_s: float = 600.0
    needs_confirmation: bool = False


@attrs.frozen
class MoveGuards:
    """The executor's safety checks. All on; tests switch one off to show that it is needed."""

    wait_for_loaded: bool = True
    weights_before_unload: bool = True
    keep_required: bool = True
    check_capacity: bool = True
    within_homes: bool = True
