"""Builds the components of a front that serve model requests."""

from rooklug.distribution.core_link import CoreLink
from rooklug.engine.component import Component
from rooklug.engine.reducer import ProcessContext
from rooklug.front.decision import Decision
from rooklug.front.demand import DemandComponent, DemandCounts
from rooklug.front.directory import Directory
from rooklug.front.executor import GenerateComponent
from rooklug.front.readiness import Readiness
from rooklug.front.view_component import ConfigurationReader, RoutingViewComponent
from rooklug.model.settings import NodeSettings


def build_front_components(
    settings: NodeSettings,
    context: ProcessContext,
    core_link: CoreLink,
    read_configuration: ConfigurationReader | None = None,
) -> list[Component]:
    """Return the components in the order in which they must handle events.

    ``RoutingViewComponent`` comes first, so that the others see the view of the newest topics.
    Components with requests of their own must be registered at the ``Readiness`` of the list with
    ``register_active_counter``, so that a drain waits for them. ``read_configuration`` defaults
    to the project's reader of configuration documents.
    """
    view_component = RoutingViewComponent(settings, read_configuration or _default_reader())
    counts = DemandCounts()
    decision = Decision(view_component, context.random)
    generate = GenerateComponent(context, view_component, decision, counts)
    readiness = Readiness(view_component, core_link)
    readiness.register_active_counter(generate.active_requests)
    return [
        view_component,
        readiness,
        Directory(view_component, context.random),
        generate,
        DemandComponent(context, core_link, counts),
    ]


def _default_reader() -> ConfigurationReader:
    from rooklug.config.document_reader import read_configuration

    return read_configuration
