"""A hollow front: the control parts of a front over real sockets, without callers.

It has the core link, the routing view, readiness, demand reports (of synthetic demand) and
the operators' API. Left out: the request path and once-only requests.
"""

import secrets
import time
from random import Random

import attrs

from rooklug.api.build import build_operator_components
from rooklug.config.document_reader import read_configuration
from rooklug.distribution.core_link import CoreLink
from rooklug.engine.composite import CompositeReducer
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.front.demand import DemandComponent
from rooklug.front.readiness import Readiness
from rooklug.front.view_component import RoutingViewComponent
from rooklug.model.settings import NodeSettings
from rooklug.model.topics import ROLE_PLACER
from rooklug_lab.hollow.demand import RouteTable, SyntheticDemand
from rooklug_lab.hollow.sharing import SharedViewKeeper, SharedViews
from rooklug_lab.hollow.timed import SharedComputations, TimedReducer

_INCARNATION_BYTES = 8


@attrs.frozen
class FrontTraffic:
    """What a hollow front says it serves."""

    table: RouteTable
    rate_per_s: float
    answer_tokens: float


@attrs.frozen(eq=False)
class HollowFront:
    """The reducer of one hollow front, and what the lab reads of it."""

    settings: NodeSettings
    reducer: TimedReducer
    core_link: CoreLink
    keeper: RoutingViewComponent

    def version(self) -> int:
        """Return the version of the configuration that it serves under."""
        return self.keeper.view.sources.configuration_version

    def serves(self) -> bool:
        """Return whether its lease is valid and it has a plan."""
        return self.core_link.connected and self.keeper.view.has_plan

    def placer(self) -> str:
        """Return the node that holds the placer role, as this front knows it."""
        owner = self.core_link.role_owner(ROLE_PLACER)
        return owner.node_id if owner else ""


def build_hollow_front(
    settings: NodeSettings,
    traffic: FrontTraffic,
    shared: SharedComputations,
    views: SharedViews,
) -> HollowFront:
    """Return a front; what is pure and equal in all of them is computed by ``shared``."""
    context = ProcessContext(
        node_id=settings.node_id,
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        random=Random(settings.node_id),
        identifiers=Identifiers(),
        wall_clock_ms=lambda: int(time.time() * 1000),
    )
    core_link = CoreLink(settings, context)
    keeper = SharedViewKeeper(
        settings, lambda document: shared.run(read_configuration, document), views
    )
    demand = SyntheticDemand(
        keeper,
        traffic.table,
        settings.region,
        traffic.rate_per_s,
        traffic.answer_tokens,
        Random(f"demand {settings.node_id}"),
    )
    components = [
        core_link,
        keeper,
        Readiness(keeper, core_link),
        DemandComponent(context, core_link, demand),
        *build_operator_components(settings, context, core_link),
    ]

    def version() -> int:
        return keeper.view.sources.configuration_version

    reducer = TimedReducer(CompositeReducer(components), shared, version)
    return HollowFront(settings, reducer, core_link, keeper)
