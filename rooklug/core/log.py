"""The log in memory: the entries after the snapshot, and how it is compared with another log."""

from collections.abc import Iterable, Sequence

from rooklug.core.types import START, EpochRun, Position
from rooklug.wire.generated.core.ttypes import LogEntry


class ReplicatedLog:
    """Entries with consecutive sequences after ``base``, the position of the snapshot."""

    def __init__(self, base: Position = START) -> None:
        self.base = base
        self.entries: list[LogEntry] = []

    @property
    def last(self) -> Position:
        """The position of the last entry, or of the snapshot if there are no entries."""
        if not self.entries:
            return self.base
        return Position(self.entries[-1].epoch, self.entries[-1].sequence)

    def position_at(self, sequence: int) -> Position | None:
        """Return the position of an entry, None if it is compacted or not in the log yet."""
        if sequence == self.base.sequence:
            return self.base
        index = sequence - self.base.sequence - 1
        if not 0 <= index < len(self.entries):
            return None
        return Position(self.entries[index].epoch, sequence)

    def after(self, sequence: int) -> list[LogEntry]:
        """Return the entries with a sequence higher than ``sequence``."""
        return self.entries[max(0, sequence - self.base.sequence) :]

    def between(self, after: int, last: int) -> list[LogEntry]:
        """Return the entries with ``after < sequence <= last``."""
        return self.entries[after - self.base.sequence : last - self.base.sequence]

    def append(self, entry: LogEntry) -> bool:
        """Append an entry; return False, without change, if it doesn't follow the last one."""
        last = self.last
        if entry.sequence != last.sequence + 1 or entry.epoch < last.epoch:
            return False
        self.entries.append(entry)
        return True

    def truncate_after(self, sequence: int) -> None:
        """Remove the entries with a sequence higher than ``sequence``."""
        del self.entries[max(0, sequence - self.base.sequence) :]

    def compact(self, base: Position) -> None:
        """Remove the entries up to ``base``, which the snapshot now includes."""
        del self.entries[: base.sequence - self.base.sequence]
        self.base = base

    def runs(self) -> list[EpochRun]:
        """Return the epochs of the entries, run-length encoded."""
        runs: list[EpochRun] = []
        for entry in self.entries:
            if not runs or runs[-1].epoch != entry.epoch:
                runs.append(EpochRun(entry.epoch, entry.sequence))
        return runs

    def matched_sequence(
        self, base: Position, runs: Sequence[EpochRun], last: Position
    ) -> int | None:
        """Return the last sequence up to which this log equals another one.

        The other log has its snapshot at ``base``, then entries with the epochs ``runs``, and
        ends at ``last``. Return None if the logs share no position that both still have: then
        only a snapshot can make them equal.
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
