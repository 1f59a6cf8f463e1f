"""JSON documents of placement problems, for ``placement explain`` and ``placement whatif``."""

from typing import Any

import attrs
from cattrs.preconf.json import make_converter

from rooklug.placement.problem import DemandKey, PlacementProblem

_CONVERTER = make_converter()


@attrs.frozen
class DemandEntry:
    """One demand key with its demand in load tokens/s."""

    key: DemandKey
    load: float


@attrs.frozen
class ProblemDocument:
    """A problem whose demand is kept in a list, because JSON keys must be strings."""

    problem: PlacementProblem
    demand: tuple[DemandEntry, ...]


def problem_to_json(problem: PlacementProblem) -> dict[str, Any]:
    """Return a JSON document that ``problem_from_json`` reads back."""
    entries = tuple(
        DemandEntry(key, load)
        for key, load in sorted(problem.demand.items(), key=lambda entry: attrs.astuple(entry[0]))
    )
    return _CONVERTER.unstructure(ProblemDocument(attrs.evolve(problem, demand={}), entries))


def problem_from_json(document: dict[str, Any]) -> PlacementProblem:
    """Return the problem of a document; raises ``cattrs`` errors if it is malformed."""
    read = _CONVERTER.structure(document, ProblemDocument)
    return attrs.evolve(read.problem, demand={entry.key: entry.load for entry in read.demand})
