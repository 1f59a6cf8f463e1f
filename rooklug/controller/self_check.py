"""Detects that this process can't reach any replica, so that it doesn't blame the replicas."""

import attrs

SUSPECT_AFTER_FAILURES = 3


@attrs.define
class SelfCheck:
    """Counts consecutive failures over all prober shards of one process.

    After ``SUSPECT_AFTER_FAILURES`` probes in a row without an answer, the fault may lie in this
    process or its network. Failures are then withheld from reports until a replica answers.
    """

    _failures_in_a_row: int = 0

    @property
    def is_suspect(self) -> bool:
        """Whether failed probes may be caused by this process or its network."""
        return self._failures_in_a_row >= SUSPECT_AFTER_FAILURES

    def record_answer(self) -> None:
        """Reset the count: a replica has answered, with any status."""
        self._failures_in_a_row = 0

    def record_failure(self) -> None:
        """Count a probe that got no answer."""
        self._failures_in_a_row += 1
