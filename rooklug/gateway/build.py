"""Composes the components of a gateway front and a gateway core.

Imports are inside the functions so that a front doesn't load a core's modules, to save memory.
"""

from random import Random
from typing import TYPE_CHECKING

import attrs

from rooklug.engine.composite import CompositeReducer
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.gateway.protocols import ClientProtocol, HeaderNames, OperatorProtocol
from rooklug.gateway.replica_rate_limiter import SlowStartBound
from rooklug.gateway.retry_budget import RetryBudgetSettings
from rooklug.model.settings import CoreSettings, NodeSettings

if TYPE_CHECKING:
    from rooklug.gateway.executor import GatewayExecutor


@attrs.frozen
class GatewayLimits:
    """Limits that the deployment sets for its gateway fronts.

    ``grace_s`` is the time from the request to stop until the process exits. ``directory_ttl_s`` is
    the TTL of stable directory answers.
    """

    grace_s: float = 8.0
    directory_ttl_s: float = 2.0
    slow_start_bound: SlowStartBound = attrs.field(factory=SlowStartBound)
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
    """Return a front's executor, with a new decision object and an empty traffic record."""
    from rooklug.gateway.decision import Decision
    from rooklug.gateway.executor import GatewayExecutor
    from rooklug.gateway.replica_rate_limiter import ReplicaRateLimiter
    from rooklug.gateway.slow_start_limiter import SlowStartLimiter
    from rooklug.gateway.traffic_record import TrafficRecord

    bound = limits.slow_start_bound
    traffic = TrafficRecord(
        random, SlowStartLimiter(node_id, int(bound.slack)), ReplicaRateLimiter(bound)
    )
    decision = Decision(region, zone, random, traffic)
    return GatewayExecutor(decision, names, identifiers, limits.retry_budget, limits.grace_s)


def compose_gateway_front(
    settings: NodeSettings, context: ProcessContext, protocol: ClientProtocol, limits: GatewayLimits
) -> CompositeReducer:
    """Return the reducer of a front that forwards requests unchanged."""
    from rooklug.distribution.core_link import CoreLink
    from rooklug.gateway.demand import DemandReporter
    from rooklug.gateway.directory import Directory
    from rooklug.gateway.lifecycle import Lifecycle
    from rooklug.gateway.peer_exchange import PeerExchange
    from rooklug.gateway.view_builder import GatewayViewBuilder

    core_link = CoreLink(settings, context)
    view_builder = GatewayViewBuilder()
    executor = build_executor(
        settings.node_id,
        settings.region,
        settings.zone,
        context.random,
        context.identifiers,
        protocol.headers,
        limits,
    )
    executor.decision.holds_lease = core_link.has_valid_lease
    lifecycle = Lifecycle(core_link, executor.active, limits.grace_s)
    return CompositeReducer(
        [
            core_link,
            view_builder,
            executor,
            lifecycle,
            Directory(
                protocol, view_builder, lifecycle, settings.http_address, limits.directory_ttl_s
            ),
            DemandReporter(settings, context, core_link, executor.decision),
            PeerExchange(settings, context, executor.decision),
        ]
    )


def compose_gateway_core(
    settings: CoreSettings, context: ProcessContext, protocol: OperatorProtocol
) -> CompositeReducer:
    """Return the reducer of a core that manages a gateway's configuration."""
    from rooklug.core.build import build_core_components
    from rooklug.core.documents import DocumentChecker
    from rooklug.gateway.document_reader import read_gateway_configuration
    from rooklug.gateway.listing import ListingWatcher
    from rooklug.gateway.operator_api import GatewayOperatorApi
    from rooklug.gateway.patching import apply_named_patch
    from rooklug.gateway.region_planner import RegionPlanner
    from rooklug.membership.build import build_membership_components

    checker = DocumentChecker(read_gateway_configuration, apply_named_patch)
    return CompositeReducer(
        [
            *build_core_components(settings, context, checker),
            *build_membership_components(settings, context),
            ListingWatcher(protocol, settings.node.platform_address, context.identifiers),
            GatewayOperatorApi(protocol, context),
            RegionPlanner(context.identifiers),
        ]
    )
