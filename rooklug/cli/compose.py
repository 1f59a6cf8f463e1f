"""Composes the reducer of each role from its components; daemon and simulator both use it.

Imports are inside the functions so that a process loads only the components of its role.
"""

from rooklug.cli.graceful_stop import GracefulStop
from rooklug.engine.composite import CompositeReducer
from rooklug.engine.reducer import ProcessContext
from rooklug.model.settings import CoreSettings, NodeSettings


def compose_core(settings: CoreSettings, context: ProcessContext) -> CompositeReducer:
    """Return a core's reducer: control state, membership and claims of once-only requests."""
    from rooklug.core.build import build_core_components
    from rooklug.front.once_only.claim_store import build_claim_store_components
    from rooklug.membership.build import build_membership_components

    return CompositeReducer(
        [
            *build_core_components(settings, context),
            *build_membership_components(settings, context),
            *build_claim_store_components(context),
        ]
    )


def compose_front(settings: NodeSettings, context: ProcessContext) -> CompositeReducer:
    """Return a front's reducer: link to the cores, request paths and the operators' API.

    Readiness also watches the once-only requests in flight.
    """
    from rooklug.api.build import build_operator_components
    from rooklug.distribution.core_link import CoreLink
    from rooklug.front.build import build_front_components
    from rooklug.front.once_only.build import build_once_only_components
    from rooklug.front.once_only.once_only_component import OnceOnlyComponent
    from rooklug.front.readiness import Readiness

    core_link = CoreLink(settings, context)
    front_components = build_front_components(settings, context, core_link)
    once_only_components = build_once_only_components(settings, context, core_link)
    readiness = next(
        component for component in front_components if isinstance(component, Readiness)
    )
    once_only = next(c for c in once_only_components if isinstance(c, OnceOnlyComponent))
    readiness.register_active_counter(once_only.active_requests)
    return CompositeReducer(
        [
            core_link,
            *front_components,
            *once_only_components,
            *build_operator_components(settings, context, core_link),
        ]
    )


def compose_controller(settings: NodeSettings, context: ProcessContext) -> CompositeReducer:
    """Return a controller's reducer: link to the cores, singleton roles and graceful stop."""
    from rooklug.controller.build import build_controller_components
    from rooklug.distribution.core_link import CoreLink

    core_link = CoreLink(settings, context)
    return CompositeReducer(
        [core_link, *build_controller_components(settings, context, core_link), GracefulStop()]
    )
