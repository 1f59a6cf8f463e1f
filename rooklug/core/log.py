"""The log in memory: the entries after the snapshot, and the comparison of two logs."""

from collections.abc import Iterable, Sequence

from rooklug.core.types import START, EpochRun, Position
from rooklug.wire.generated.core.ttypes import LogEntry


class ReplicatedLog:
    """Entries of consecutive sequences after ``base``, which the snapshot represents."""

    def __init__(self, base: Position = START) -> None:
        self.base = base
        self.entries: list[LogEntry] = []

    @property
    def last(self) -> Position:
        """The position of the last entry."""
        if not self.entries:
            return self.base
        return Position(self.entries[-1].epoch, self.entries[-1].sequence)

    def position_at(self, sequence: int) -> Position | None:
        """Return the position of an entry, None where the log doesn't reach."""
        if sequence == self.base.sequence:
            return self.base
        index = sequence - self.base.sequence - 1
        if not 0 <= index < len(self.entries):
            return None
        return Position(self.entries[index].epoch, sequence)

    def after(self, sequence: int) -> list[LogEntry]:
        """Return the entries of a higher sequence."""
        return self.entries[max(0, sequence - self.base.sequence) :]

    def between(self, after: int, last: int) -> list[LogEntry]:
        """Return the entries with ``after < sequence <= last``."""
        return self.entries[after - self.base.sequence : last - self.base.sequence]

    def append(self, entry: LogEntry) -> bool:
        """Add the next entry; False when it doesn't follow the last one."""
        last = self.last
        if entry.sequence != last.sequence + 1 or entry.epoch < last.epoch:
            return False
        self.entries.append(entry)
        return True

    def truncate_after(self, sequence: int) -> None:
        """Drop the entries of a higher sequence."""
        del self.entries[max(0, sequence - self.base.sequence) :]

    def compact(self, base: Position) -> None:
        """Drop the entries up to ``base``, which a snapshot represents now."""
        del self.entries[: base.sequence - self.base.sequence]
        self.base = base

    def runs(self) -> list[EpochRun]:
        """Return the epochs of the entries, as runs."""
        runs: list[EpochRun] = []
        for entry in self.entries:
            if not runs or runs[-1].epoch != entry.epoch:
                runs.append(EpochRun(entry.epoch, entry.sequence))
        return runs

    def matched_sequence(
        self, base: Position, runs: Sequence[EpochRun], last: Position
    ) -> int | None:
        """Return the last sequence up to which this log equals the other one, None if unknown.

        The other log has a snapshot at ``base``, entries of ``runs`` after it, and ends at
        ``last``. None: it needs a snapshot, since the logs share no position it still has.
        """
        sequence = min(self.last.sequence, last.sequence)
        lowest = max(self.base.sequence, base.sequence)
        while sequence >= lowest:
            if self.position_at(sequence) == _other_position(sequence, base, runs):
                return sequence
            sequence -= 1
        return None


def _other_position(sequence: int, base: Position, runs: Iterable[EpochRun]) -> Position:
    if sequence <= base.sequence:
        return base
    epoch = max((run.epoch for run in runs if run.first_sequence <= sequence), default=0)
    return Position(epoch, sequence)
