"""What all hollow fronts of a process would compute alike is computed once, and counted for all.

Without it one process would spend the processor time and memory of dozens of machines at the
same moment, miss its renewals, and show faults that fronts on machines of their own don't have.
"""

import time
from typing import Any

import attrs
from expression import Result

from rooklug.distribution import subscribed_topics
from rooklug.front.routing_view import RoutingView, ViewSources
from rooklug.front.view_building import build_routing_view
from rooklug.front.view_component import ConfigurationReader, RoutingViewComponent
from rooklug.model.settings import NodeSettings
from rooklug.wire.packing import decode_packed
from rooklug_lab.hollow.timed import SharedComputations


def share_decoding(shared: SharedComputations) -> None:
    """Decode a topic's body once in this process; nobody changes decoded bodies."""

    def decode(struct_type: type, data: bytes) -> Result[Any, Any]:
        return shared.run(_decode, (struct_type, data))

    subscribed_topics.decode_packed = decode


def _decode(asked: tuple[type, bytes]) -> Result[Any, Any]:
    return decode_packed(*asked)


class SharedViews:
    """The newest view of any front of the process, from which others take what is alike."""

    def __init__(self, shared: SharedComputations) -> None:
        self._shared = shared
        self._newest: RoutingView | None = None
        self._seconds = 0.0

    def build(
        self, own: NodeSettings, sources: ViewSources, previous: RoutingView | None
    ) -> RoutingView:
        """Build a front's view; count for each what it would have cost the front alone."""
        sources = self._with_shared_replicas(sources)
        if self._has(sources):
            self._shared.seconds += self._seconds
            previous = self._newest
        begun = time.thread_time()
        view = build_routing_view(own.node_id, own.zone, own.region, sources, previous)
        if not self._has(sources):
            self._newest, self._seconds = view, time.thread_time() - begun
        return view

    def _with_shared_replicas(self, sources: ViewSources) -> ViewSources:
        """Each keeper has a tuple of its own of the same listed replicas."""
        held = self._newest.sources.replicas if self._newest is not None else None
        if held is None or held != sources.replicas:
            return sources
        return attrs.evolve(sources, replicas=held)

    def _has(self, sources: ViewSources) -> bool:
        if self._newest is None:
            return False
        held = self._newest.sources
        names = ("configuration", "drained_zones", "replicas", "plan")
        return all(getattr(held, name) is getattr(sources, name) for name in names)


class SharedViewKeeper(RoutingViewComponent):
    """A view keeper that builds with the other fronts of its process."""

    def __init__(
        self, settings: NodeSettings, read_configuration: ConfigurationReader, views: SharedViews
    ) -> None:
        self._views = views
        super().__init__(settings, read_configuration)

    def _build(self, previous: RoutingView | None) -> RoutingView:
        return self._views.build(self._settings, self._sources, previous)
