"""Inputs, orders, settings and decisions of the move executor, as plain values."""

import attrs

from rooklug.placement.problem import RouteShare


@attrs.frozen
class SlotReport:
    """The last reported state of a replica.

    ``serving`` is False for an unhealthy or draining replica, which isn't counted as serving any
    model and gets no load. A replica without a report counts as gone.
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
    """Load ``model`` on the replica with id ``slot``; a retry has the same ``order_id``."""

    slot: str
    model: str
    order_id: str


@attrs.frozen
class Unload:
    """Unload ``model`` from the replica with id ``slot``, even if it is still loading."""

    slot: str
    model: str
    order_id: str


@attrs.frozen
class PublishWeights:
    """Publish the routing matrix and the models that each replica should serve.

    Each cell leads to a region where at least one replica serves the model now. ``intended`` is by
    replica id.
    """

    sequence: int
    matrix: tuple[RouteShare, ...]
    intended: dict[str, tuple[str, ...]]


Order = Load | Unload | PublishWeights


@attrs.frozen
class MoveDecision:
    """One decision of the executor, with its cause.

    ``kind`` is the kind of the decision record, such as "load", "unload" or "blocked".
    """

    kind: str
    cause: str
    summary: str


@attrs.frozen
class MoveSettings:
    """Limits and timeouts of the executor.

    ``max_loading`` bounds the loads in flight of models that have all needed replicas.
    ``load_timeout_factor`` is the deadline of a load as a multiple of its usual duration.
    ``drain_s`` is the time from the published withdrawal of a model to its unload, in which all
    fronts receive it and running requests end. With ``needs_confirmation``, it starts at
    ``MoveExecutor.weights_published`` instead of at the order to publish. ``resend_s`` is the retry
    interval of orders. After a timed-out load, its slot is avoided for ``avoid_s``, doubled with
    each further one up to ``avoid_limit_s``.
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
    """The executor's safety checks, all enabled; tests disable one to show that it is needed.

    ``wait_for_loaded``: switch weights only once the planned replicas are loaded.
    ``weights_before_unload``: unload only after the withdrawal is published and drained.
    ``keep_required``: keep the replicas that the live weights need.
    ``check_capacity``: load only what fits on the slot.
    ``within_homes``: drop cells that lead outside a key's home regions.
    """

    wait_for_loaded: bool = True
    weights_before_unload: bool = True
    keep_required: bool = True
    check_capacity: bool = True
    within_homes: bool = True
