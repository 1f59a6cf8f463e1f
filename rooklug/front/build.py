"""Composes the parts of a front's model request path."""

from rooklug.engine.component import Component
from rooklug.engine.reducer import ProcessContext
from rooklug.front.decision import Decision
from rooklug.front.demand import DemandComponent, DemandCounts
from rooklug.front.directory import Directory
from rooklug.front.executor import GenerateComponent
from rooklug.front.readiness import Readiness
from rooklug.front.view_keeper import ConfigurationReader, ViewKeeper
from rooklug.model.settings import NodeSettings


def build_front_components(
    settings: NodeSettings,
    context: ProcessContext,
    core_link,
    read_configuration: ConfigurationReader | None = None,
) -> list[Component]:
    """Return the parts, the ``ViewKeeper`` first (it must see a topic before the others).

    Other parts with requests of their own find ``Readiness`` in the list and call ``watch``.
    ``read_configuration`` defaults to the project's reader of configuration documents.
    """
    keeper = ViewKeeper(settings, read_configuration or _default_reader())
    counts = DemandCounts()
    decision = Decision(keeper, context.random)
    generate = GenerateComponent(context, keeper, decision, counts)
    readiness = Readiness(keeper, core_link)
    readiness.watch(generate.active_requests)
    return [
        keeper,
        readiness,
        Directory(keeper, context.random),
        generate,
        DemandComponent(context, core_link, counts),
    ]


def _default_reader() -> ConfigurationReader:
    from rooklug.config.document_reader import read_configuration

    return read_configuration
