"""Composition of the core's membership components."""

from rooklug.engine.component import Component
from rooklug.engine.reducer import ProcessContext
from rooklug.membership.membership_component import MembershipComponent
from rooklug.model.settings import CoreSettings


def build_membership_components(settings: CoreSettings, context: ProcessContext) -> list[Component]:
    """Return the components that manage leases and roles and distribute the topics.

    They run in the same ``CompositeReducer`` as the replication components, whose events they
    subscribe to.
    """
    return [MembershipComponent(settings, context)]
