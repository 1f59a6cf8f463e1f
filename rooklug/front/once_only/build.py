"""Builds the components of a front that serve once-only requests."""

from rooklug.distribution.core_link import CoreLink
from rooklug.engine.component import Component
from rooklug.engine.reducer import ProcessContext
from rooklug.front.once_only.attempt_table import AttemptTable
from rooklug.front.once_only.claim_components import ClaimOwner, OutcomeService
from rooklug.front.once_only.once_only_component import OnceOnlyComponent
from rooklug.model.settings import NodeSettings


def build_once_only_components(
    settings: NodeSettings, context: ProcessContext, core_link: CoreLink
) -> list[Component]:
    """Return the components, the ``OnceOnlyComponent`` first.

    The claim stores run in the cores (``build_claim_store_components``), at ``settings.seeds``.
    The front's ``RoutingViewComponent`` must come before these components.
    """
    attempts = AttemptTable(settings.node_id, context.incarnation)
    owner = ClaimOwner(context, core_link, settings.seeds)
    return [OnceOnlyComponent(context, core_link, attempts), owner, OutcomeService(attempts, owner)]
