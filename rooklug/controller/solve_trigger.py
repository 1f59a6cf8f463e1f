"""When to solve: periodically, and soon after an event, at a limited rate."""

import attrs

DEBOUNCE_S = 0.2
SPACING_S = 1.0
MAX_CAUSES = 5


@attrs.define
class SolveTrigger:
    """Collects the causes for the next solve. Times are monotonic seconds.

    An event triggers a solve after ``DEBOUNCE_S``, but not within ``SPACING_S`` of the last one.
    """

    _causes: list[str] = attrs.field(factory=list)
    _first_at: float | None = None
    _solved_at: float = float("-inf")
    _solving: bool = False

    def add_cause(self, cause: str, now: float) -> None:
        """Request a solve soon; ``cause`` goes into the decision records."""
        if cause not in self._causes:
            self._causes.append(cause)
        if self._first_at is None:
            self._first_at = now

    def due(self, now: float, interval_s: float) -> bool:
        """Return whether to solve now: after a cause, or ``interval_s`` after the last solve.

        Never while a solve is running.
        """
        if self._solving:
            return False
        if self._first_at is not None:
            return now >= max(self._first_at + DEBOUNCE_S, self._solved_at + SPACING_S)
        return now >= self._solved_at + interval_s

    def begin(self, now: float) -> str:
        """Start a solve; return the text of its collected causes, which are then cleared."""
        cause = _in_words(self._causes) or "periodic review"
        self._causes = []
        self._first_at = None
        self._solved_at = now
        self._solving = True
        return cause

    def end(self) -> None:
        """End the running solve, whether or not it gave a plan."""
        self._solving = False


def _in_words(causes: list[str]) -> str:
    if len(causes) <= MAX_CAUSES:
        return "; ".join(causes)
    return "; ".join(causes[-MAX_CAUSES:]) + f"; and {len(causes) - MAX_CAUSES} earlier"
