"""Constructs the components of a controller node: platform watcher, prober shards, placer."""

from typing import Any

from expression import Result

from rooklug.config.document import Configuration
from rooklug.controller.link import Link
from rooklug.controller.placer import PlacerHost
from rooklug.controller.placer_term import PlacerTools
from rooklug.controller.platform_watcher import PlatformWatcher
from rooklug.controller.prober import Prober
from rooklug.controller.self_check import SelfCheck
from rooklug.controller.solving import Solve
from rooklug.engine.component import Component
from rooklug.engine.reducer import ProcessContext
from rooklug.model.settings import NodeSettings
from rooklug.model.topics import PROBER_SHARDS
from rooklug.placement.problem import PlacementPlan, PlacementProblem


def solve_placement(problem: PlacementProblem) -> PlacementPlan:
    """Solve with the planner.

    The import is deferred: it loads the solver libraries, which only an active placer needs.
    """
    from rooklug.placement.planner import solve

    return solve(problem)


def read_document(document: bytes) -> Result[Configuration, Any]:
    """Parse a configuration document; the import is deferred until a placer needs the reader."""
    from rooklug.config.document_reader import read_configuration

    return read_configuration(document)


def build_controller_components(
    settings: NodeSettings,
    context: ProcessContext,
    core_link: Link,
    solve: Solve = solve_placement,
) -> list[Component]:
    """Return the components of a controller node, except its core link.

    Tests replace ``solve``, which runs as a ``Compute`` effect outside the event loop.
    """
    self_check = SelfCheck()
    tools = PlacerTools(context, core_link, solve, read_document)
    probers = [
        Prober(shard, settings, context, core_link, self_check) for shard in range(PROBER_SHARDS)
    ]
    return [PlatformWatcher(settings, context, core_link), *probers, PlacerHost(tools)]
