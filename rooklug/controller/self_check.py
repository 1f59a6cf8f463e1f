"""Whether this process reaches any replica: a prober that reaches none suspects itself."""

import attrs

SUSPECT_AFTER_FAILURES = 3


@attrs.define
class SelfCheck:
    """Shared by the prober shards of one process.

    After ``SUSPECT_AFTER_FAILURES`` probes in a row, over all shards, without one answer, the
    fault may be on this side: failures are then not reported until something answers.
    """

    _failures_in_a_row: int = 0

    @property
    def is_suspect(self) -> bool:
        """Whether failures may be this process's own."""
        return self._failures_in_a_row >= SUSPECT_AFTER_FAILURES

    def record_answer(self) -> None:
        """A probe got an answer."""
        self._failures_in_a_row = 0

    def record_failure(self) -> None:
        """A probe got no answer."""
        self._failures_in_a_row += 1
