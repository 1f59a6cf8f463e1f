"""Composition of the core's membership parts."""

from rooklug.engine.component import Component
from rooklug.engine.reducer import ProcessContext
from rooklug.membership.membership_component import MembershipComponent
from rooklug.model.settings import CoreSettings


def build_membership_components(settings: CoreSettings, context: ProcessContext) -> list[Component]:
    """Return the parts that keep leases and roles and distribute the topics.

    They run in one ``CompositeReducer`` with the replication parts, whose events they hear.
    """
    return [MembershipComponent(settings, context)]
