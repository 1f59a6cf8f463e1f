"""Diving: integer solutions of large programs from their linear relaxation.

Branch and bound with cuts needs many seconds at the planned size. The relaxation takes a
quarter of a second, and solving it again after some columns were rounded up takes
milliseconds. So the largest fractions are rounded up, a share at a time, until none is
left. Several dives in a fixed order, the best one wins; the relaxation's objective proves
the gap. The number of dives is fixed, so equal problems get equal plans; the time limit
is a guard.
"""

from math import ceil, floor

import attrs

from rooklug.placement.linear import LinearModel, LinearSolution, Relaxation

INTEGRALITY_TOLERANCE = 1e-5


@attrs.frozen
class DiveStyle:
    """``share`` of the fractional columns rounded a step; ``weight`` favours high ranks."""

    share: float
    weight: float


FIRST_STYLES = (DiveStyle(0.2, 1.0), DiveStyle(0.3, 0.0))
AGAIN_STYLES = (DiveStyle(0.3, 0.5),)
LAST_DIVE_SHARE = 0.45
"""No further dive begins after this share of the time limit."""


class Diver:
    """Dives into one model; keeps its relaxation, so that a second search is cheap.

    ``ranks`` gives the columns to make integral, with the rank of each one's model. Other
    integer columns stay relaxed.
    """

    def __init__(self, model: LinearModel, ranks: dict[int, float]) -> None:
        self._model = model
        self._ranks = ranks
        self._relaxation = Relaxation(model)
        self._root = self._relaxation.solve()

    def search(self, limit_s: float, styles: tuple[DiveStyle, ...]) -> LinearSolution | None:
        """Return the best integer solution of the dives, with its proven relative gap.

        Rereads the model's column bounds. ``limit_s`` counts from the first search.
        """
        if self._root is None:
            return None
        best = None
        for style in styles:
            if best is not None and self._relaxation.spent_s > limit_s * LAST_DIVE_SHARE:
                break
            self._reset_bounds()
            found = _Dive(self._relaxation, self._ranks, style, limit_s).run()
            if found is not None and (best is None or found.objective < best.objective):
                best = found
        if best is None:
            return None
        gap = (best.objective - self._root.objective) / max(1e-9, abs(best.objective))
        return attrs.evolve(best, gap=max(0.0, gap))

    @property
    def spent_s(self) -> float:
        """Seconds the solver has run so far, by its own timer."""
        return self._relaxation.spent_s

    def _reset_bounds(self) -> None:
        model = self._model
        self._relaxation.bound(
            {column: (model.lowers[column], model.uppers[column]) for column in self._ranks}
        )


class _Dive:
    def __init__(
        self, relaxation: Relaxation, ranks: dict[int, float], style: DiveStyle, limit_s: float
    ) -> None:
        self._relaxation = relaxation
        self._ranks = ranks
        self._style = style
        self._limit_s = limit_s

    def run(self) -> LinearSolution | None:
        solution = self._relaxation.solve()
        while solution is not None:
            fractional = self._fractional(solution)
            if not fractional:
                return solution
            if self._relaxation.spent_s > self._limit_s:
                solution = self._round_down(solution, fractional)
                continue
            count = max(1, int(len(fractional) * self._style.share))
            solution = self._round_up(solution, fractional[:count])
        return None

    def _fractional(self, solution: LinearSolution) -> list[int]:
        ranked = []
        for column, rank in self._ranks.items():
            value = solution.values[column]
            fraction = value - floor(value + INTEGRALITY_TOLERANCE)
            if fraction > INTEGRALITY_TOLERANCE:
                ranked.append((-fraction * (1.0 + self._style.weight * rank), column))
        return [column for _, column in sorted(ranked)]

    def _round_up(self, solution: LinearSolution, columns: list[int]) -> LinearSolution | None:
        relaxation = self._relaxation
        while True:
            before = {
                column: (relaxation.lowers[column], relaxation.uppers[column]) for column in columns
            }
            relaxation.bound(
                {column: (ceil(solution.values[column]), before[column][1]) for column in columns}
            )
            found = relaxation.solve()
            if found is not None:
                return found
            relaxation.bound(before)
            if len(columns) == 1:
                return self._round_down(solution, columns)
            columns = columns[: len(columns) // 2]

    def _round_down(self, solution: LinearSolution, columns: list[int]) -> LinearSolution | None:
        self._relaxation.bound(
            {
                column: (
                    self._relaxation.lowers[column],
                    float(floor(solution.values[column] + INTEGRALITY_TOLERANCE)),
                )
                for column in columns
            }
        )
        return self._relaxation.solve()
