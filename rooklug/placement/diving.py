"""Diving heuristic: integer solutions of large programs from their linear relaxation.

Branch and bound with cuts needs many seconds at the planned size. The linear relaxation takes a
quarter of a second, and solving it again after some columns were rounded up takes milliseconds.
So a dive repeatedly rounds up a share of the largest fractions until all columns are integral.
Several dives run in a fixed order and the best solution is returned; the objective of the
relaxation proves its gap. The number of dives is fixed, so equal problems get equal plans; the
time limit is only a safeguard.
"""

from math import ceil, floor

import attrs

from rooklug.placement.linear import LinearModel, LinearSolution, Relaxation

INTEGRALITY_TOLERANCE = 1e-5


@attrs.frozen
class DiveStyle:
    """The parameters of a dive.

    ``share`` is the share of the fractional columns that each step rounds up. A larger ``weight``
    rounds up columns of models with a high priority rank earlier.
    """

    share: float
    weight: float


FIRST_STYLES = (DiveStyle(0.2, 1.0), DiveStyle(0.3, 0.0))
AGAIN_STYLES = (DiveStyle(0.3, 0.5),)
LAST_DIVE_SHARE = 0.45
"""No further dive starts after this share of the time limit."""


class Diver:
    """Runs dives on one model and keeps its relaxation, so that a second search is cheap.

    ``ranks`` maps each column to be made integral to the priority rank of its placement model.
    Other integer columns stay relaxed.
    """

    def __init__(self, model: LinearModel, ranks: dict[int, float]) -> None:
        self._model = model
        self._ranks = ranks
        self._relaxation = Relaxation(model)
        self._root = self._relaxation.solve()

    def search(self, limit_s: float, styles: tuple[DiveStyle, ...]) -> LinearSolution | None:
        """Return the best integer solution of the dives, with its proven relative gap, or None.

        The column bounds are read again from the model. ``limit_s`` bounds the solver time since
        the first search.
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
        """The seconds that the solver has run so far, by its own timer."""
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
