"""Composes a gateway front and a gateway core; imports are inside for the sake of memory."""

from random import Random
from typing import TYPE_CHECKING

import attrs

from rooklug.engine.composite import CompositeReducer
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.gateway.dialect import ControlDialect, EdgeDialect, HeaderNames
from rooklug.gateway.replica_pace import ColdBound
from rooklug.gateway.retry_budget import RetryBudgetSettings
from rooklug.model.settings import CoreSettings, NodeSettings

if TYPE_CHECKING:
    from rooklug.gateway.executor import GatewayExecutor


@attrs.frozen
class GatewayLimits:
    """The deployment's bounds that the gateway's parts obey."""

    grace_s: float = 8.0
    directory_ttl_s: float = 2.0
    cold_bound: ColdBound = attrs.field(factory=ColdBound)
    retry_budget: RetryBudgetSettings = attrs.field(factory=RetryBudgetSettings)


def build_executor(
    node_id: str,
    region: str,
    zone: str,
    random: Random,
    identifiers: Identifiers,
    names: HeaderNames,
    limits: GatewayLimits,
) -> "GatewayExecutor":
    """Return a front's executor with its decision object."""
    from rooklug.gateway.cold_gate import ColdGate
    from rooklug.gateway.decision import Decision
    from rooklug.gateway.executor import GatewayExecutor
    from rooklug.gateway.replica_pace import ReplicaPace

    gate = ColdGate(node_id, int(limits.cold_bound.slack))
    decision = Decision(region, zone, random, gate, ReplicaPace(limits.cold_bound))
    return GatewayExecutor(decision, names, identifiers, limits.retry_budget, limits.grace_s)


def compose_gateway_front(
    settings: NodeSettings, context: ProcessContext, dialect: EdgeDialect, limits: GatewayLimits
) -> CompositeReducer:
    """Return the reducer of a front that passes requests through."""
    from rooklug.distribution.core_link import CoreLink
    from rooklug.gateway.demand import DemandReporter
    from rooklug.gateway.directory import Directory
    from rooklug.gateway.lifecycle import Lifecycle
    from rooklug.gateway.peer_exchange import PeerExchange
    from rooklug.gateway.view_keeper import GatewayViewKeeper

    core_link = CoreLink(settings, context)
    keeper = GatewayViewKeeper()
    executor = build_executor(
        settings.node_id,
        settings.region,
        settings.zone,
        context.random,
        context.identifiers,
        dialect.headers,
        limits,
    )
    lifecycle = Lifecycle(core_link, executor.active, limits.grace_s)
    return CompositeReducer(
        [
            core_link,
            keeper,
            executor,
            lifecycle,
            Directory(dialect, keeper, lifecycle, settings.http_address, limits.directory_ttl_s),
            DemandReporter(settings, context, core_link, executor.decision),
            PeerExchange(settings, context, executor.decision),
        ]
    )


def compose_gateway_core(
    settings: CoreSettings, context: ProcessContext, dialect: ControlDialect
) -> CompositeReducer:
    """Return the reducer of a core that keeps a gateway's configuration."""
    from rooklug.core.build import build_core_components
    from rooklug.core.documents import DocumentChecker
    from rooklug.gateway.document import read_gateway_configuration
    from rooklug.gateway.listing import ListingWatcher
    from rooklug.gateway.operators import OperatorCalls
    from rooklug.gateway.patching import apply_named_patch
    from rooklug.gateway.region_planner import RegionPlanner
    from rooklug.membership.build import build_membership_components

    checker = DocumentChecker(read_gateway_configuration, apply_named_patch)
    return CompositeReducer(
        [
            *build_core_components(settings, context, checker),
            *build_membership_components(settings, context),
            ListingWatcher(dialect, settings.node.platform_address, context.identifiers),
            OperatorCalls(dialect, context),
            RegionPlanner(context.identifiers),
        ]
    )
