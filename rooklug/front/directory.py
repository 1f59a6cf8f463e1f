"""Answers ``POST /v1/where``: which front a client should send its requests to."""

from random import Random

from rooklug.config.document import Route, RouteKind
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.front.answers import front_document, json_answer, not_run_answer, problem_answer
from rooklug.front.requests import RequestProblem, read_json_object, read_prefix_blocks
from rooklug.front.routing_view import FrontNode, RoutingView
from rooklug.front.view_component import RoutingViewComponent

WHERE_PATH = "/v1/where"
VALID_S = 5
MAX_ALTERNATIVES = 2


def choose_regions(view: RoutingView, route: Route, source_region: str) -> list[tuple[str, ...]]:
    """Return groups of regions in which to look for a front, the best group first.

    The client's own region comes first if the route's home regions allow it and the first level
    of the matrix sends traffic there (or the matrix has no cell). Then follow the regions of the
    first level by falling weight, then all home regions (() for an unbound route: any region).
    """
    homes = route.home_regions
    levels = view.destinations(route, source_region) if route.kind is RouteKind.MODEL else ()
    first_level = [cell.region for cell in levels[0]] if levels else []
    groups: list[tuple[str, ...]] = []
    if (not homes or source_region in homes) and (not levels or source_region in first_level):
        groups.append((source_region,))
    if levels:
        heaviest = sorted(levels[0], key=lambda cell: (-cell.weight, cell.region))
        groups.extend((cell.region,) for cell in heaviest)
    groups.append(homes)
    return groups


class Directory(BaseComponent):
    """Names ready fronts to clients, in random order within each group of regions."""

    name = "directory"
    http_prefixes = (WHERE_PATH,)

    def __init__(self, view_component: RoutingViewComponent, random: Random) -> None:
        self._view_component = view_component
        self._random = random

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Answer one directory request; other events are ignored."""
        if not isinstance(event, ev.HttpRequestArrived):
            return []
        if event.method != "POST" or event.path != WHERE_PATH:
            problem = RequestProblem(405, "method_not_allowed", f"POST {WHERE_PATH}")
            return [problem_answer(event.request_id, problem)]
        return [self._answer(event)]

    def _answer(self, event: ev.HttpRequestArrived) -> fx.Effect:
        view = self._view_component.view
        if view.configuration is None:
            message = "no configuration has come yet"
            return not_run_answer(event.request_id, "", "no_configuration", message, 1)
        document = read_json_object(event.body)
        if document is None or not isinstance(document.get("route"), str):
            problem = RequestProblem(400, "invalid", "the body must name a route")
            return problem_answer(event.request_id, problem)
        if read_prefix_blocks(document) is None:
            problem = RequestProblem(400, "invalid", "prompt_parts must be a list of strings")
            return problem_answer(event.request_id, problem)
        route = view.route(document["route"])
        if route is None:
            problem = RequestProblem(404, "unknown_route", "no route of that name")
            return problem_answer(event.request_id, problem)
        return self._name_fronts(event, view, route)

    def _name_fronts(
        self, event: ev.HttpRequestArrived, view: RoutingView, route: Route
    ) -> fx.Effect:
        fronts = self._ranked_fronts(view, route, view.region_of_caller(event.headers))
        if not fronts:
            message = "no ready front in the route's regions"
            code = "no_home" if route.home_regions else "no_front"
            return not_run_answer(event.request_id, "", code, message, 1)
        best, *others = fronts
        answer = {
            "front": front_document(best),
            "alternatives": [front_document(front) for front in others[:MAX_ALTERNATIVES]],
            "valid_s": VALID_S,
        }
        return json_answer(event.request_id, 200, answer)

    def _ranked_fronts(self, view: RoutingView, route: Route, source: str) -> list[FrontNode]:
        ranked: dict[str, FrontNode] = {}
        for regions in choose_regions(view, route, source):
            group = list(view.fronts_in(regions))
            self._random.shuffle(group)
            for front in group:
                ranked.setdefault(front.node_id, front)
        return list(ranked.values())
