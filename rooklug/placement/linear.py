"""A small builder for mixed-integer programs, solved by HiGHS (highspy).

highspy and numpy are imported only when a program is solved. The solver is single-threaded, so a
solve never uses more than one core. It is bounded by work, so that its result doesn't depend on how
much processor time it gets; a time limit far above that only guards against a solve without end.
"""

from math import inf
from typing import Any

import attrs

RELATIVE_GAP = 0.002
NODES_PER_S = 300
"""Branch-and-bound nodes of a solve, per second of its limit; a core of its own does over twice as
many in that time."""
TIME_GUARD_FACTOR = 8.0
"""A solve is ended after this many times its limit."""


@attrs.frozen
class LinearSolution:
    """Column values, objective and proven relative gap of a solution.

    ``ended_by_time`` says that the time guard ended the solve, so that another solve of the same
    model may have another result.
    """

    values: list[float]
    objective: float
    gap: float
    ended_by_time: bool = False


@attrs.define
class LinearModel:
    """A minimisation problem: columns with bounds and costs, and rows with bounds.

    Rows are stored in compressed form: the entries of row i begin at ``row_starts[i]``.
    """

    costs: list[float] = attrs.field(factory=list)
    lowers: list[float] = attrs.field(factory=list)
    uppers: list[float] = attrs.field(factory=list)
    integers: list[int] = attrs.field(factory=list)
    row_lowers: list[float] = attrs.field(factory=list)
    row_uppers: list[float] = attrs.field(factory=list)
    row_starts: list[int] = attrs.field(factory=lambda: [0])
    entry_columns: list[int] = attrs.field(factory=list)
    entry_values: list[float] = attrs.field(factory=list)

    def column(self, cost: float = 0.0, upper: float = inf, *, integer: bool = False) -> int:
        """Add a column with lower bound 0 and return its index."""
        index = len(self.costs)
        self.costs.append(cost)
        self.lowers.append(0.0)
        self.uppers.append(upper)
        if integer:
            self.integers.append(index)
        return index

    def row(
        self, entries: list[tuple[int, float]], lower: float = -inf, upper: float = inf
    ) -> None:
        """Add the row ``lower <= sum(value * column) <= upper`` over (column, value) entries."""
        for column, value in entries:
            self.entry_columns.append(column)
            self.entry_values.append(value)
        self.row_starts.append(len(self.entry_columns))
        self.row_lowers.append(lower)
        self.row_uppers.append(upper)

    def relaxed(self) -> "LinearModel":
        """Return an independent copy without integrality constraints."""
        lists = {field.name: list(getattr(self, field.name)) for field in attrs.fields(LinearModel)}
        return LinearModel(**{**lists, "integers": []})

    def fix(self, column: int, value: float) -> None:
        """Set both bounds of a column to ``value``."""
        self.lowers[column] = value
        self.uppers[column] = value


def highs_available() -> bool:
    """Return whether highspy and numpy can be imported."""
    try:
        import highspy  # noqa: F401
        import numpy  # noqa: F401
    except ImportError:
        return False
    return True


def minimise(model: LinearModel, limit_s: float) -> LinearSolution | None:
    """Solve ``model`` with the work of ``limit_s``; None if that found no feasible point.

    No known solution is passed as a start: with one, HiGHS 1.16 sometimes returns the values of
    the start together with the objective of a better optimum that it found.
    """
    import highspy
    import numpy

    solver = _new_solver(highspy)
    solver.setOptionValue("mip_max_nodes", max(1, int(limit_s * NODES_PER_S)))
    solver.setOptionValue("time_limit", max(0.01, limit_s * TIME_GUARD_FACTOR))
    solver.setOptionValue("mip_rel_gap", RELATIVE_GAP)
    if solver.passModel(_to_highs(model, highspy, numpy)) == highspy.HighsStatus.kError:
        return None
    solver.run()
    info = solver.getInfo()
    if int(info.primal_solution_status) != int(highspy.SolutionStatus.kSolutionStatusFeasible):
        return None
    gap = min(1.0, float(info.mip_gap)) if model.integers else 0.0
    values = list(solver.getSolution().col_value)
    ended_by_time = solver.getModelStatus() == highspy.HighsModelStatus.kTimeLimit
    return LinearSolution(values, float(info.objective_function_value), gap, ended_by_time)


class Relaxation:
    """The linear relaxation of a model, which is cheap to solve again after changes of bounds.

    The first solve uses the interior-point method, later ones the simplex method, which starts
    from the previous solution.
    """

    def __init__(self, model: LinearModel) -> None:
        import highspy
        import numpy

        self._highspy = highspy
        self._numpy = numpy
        self._solver = _new_solver(highspy)
        self._solver.passModel(_to_highs(model.relaxed(), highspy, numpy))
        self._solver.setOptionValue("solver", "ipm")
        self.lowers = list(model.lowers)
        self.uppers = list(model.uppers)

    def solve(self) -> LinearSolution | None:
        """Solve with the current bounds; return None if there is no optimal solution."""
        self._solver.run()
        self._solver.setOptionValue("solver", "simplex")
        if self._solver.getModelStatus() != self._highspy.HighsModelStatus.kOptimal:
            return None
        objective = float(self._solver.getInfo().objective_function_value)
        return LinearSolution(list(self._solver.getSolution().col_value), objective, 0.0)

    def bound(self, bounds: dict[int, tuple[float, float]]) -> None:
        """Set the (lower, upper) bounds of columns."""
        numpy = self._numpy
        columns = sorted(bounds)
        for column in columns:
            self.lowers[column], self.uppers[column] = bounds[column]
        self._solver.changeColsBounds(
            len(columns),
            numpy.array(columns, dtype=numpy.int32),
            numpy.array([self.lowers[column] for column in columns], dtype=numpy.double),
            numpy.array([self.uppers[column] for column in columns], dtype=numpy.double),
        )

    @property
    def spent_s(self) -> float:
        """The seconds that the solver has run so far, by its own timer."""
        return float(self._solver.getRunTime())


def _new_solver(highspy: Any) -> Any:
    """Return a silent, single-threaded solver.

    It is the core class of the binding: ``highspy.Highs`` adds callbacks that are not used here,
    and its constructor prints a banner to standard output before output can be disabled.
    """
    solver = highspy._core._Highs()
    solver.setOptionValue("output_flag", False)  # noqa: FBT003 - the library's signature
    solver.setOptionValue("threads", 1)
    solver.setOptionValue("parallel", "off")
    solver.setOptionValue("random_seed", 1)
    return solver


def _to_highs(model: LinearModel, highspy: Any, numpy: Any) -> Any:
    program = highspy.HighsLp()
    program.num_col_ = len(model.costs)
    program.num_row_ = len(model.row_lowers)
    program.col_cost_ = numpy.array(model.costs, dtype=numpy.double)
    program.col_lower_ = numpy.array(model.lowers, dtype=numpy.double)
    program.col_upper_ = numpy.array(model.uppers, dtype=numpy.double)
    program.row_lower_ = numpy.array(model.row_lowers, dtype=numpy.double)
    program.row_upper_ = numpy.array(model.row_uppers, dtype=numpy.double)
    program.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
    program.a_matrix_.start_ = numpy.array(model.row_starts, dtype=numpy.int32)
    program.a_matrix_.index_ = numpy.array(model.entry_columns, dtype=numpy.int32)
    program.a_matrix_.value_ = numpy.array(model.entry_values, dtype=numpy.double)
    if model.integers:
        kinds = [highspy.HighsVarType.kContinuous] * len(model.costs)
        for column in model.integers:
            kinds[column] = highspy.HighsVarType.kInteger
        program.integrality_ = kinds
    return program
