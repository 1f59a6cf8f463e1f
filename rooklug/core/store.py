"""One core's replica: the log on disk and in memory, and the committed state.

The log file starts with a snapshot, followed by records of entries and of truncations of
uncommitted tails.
"""

from collections.abc import Iterable, Sequence

from rooklug.core.constants import LOG_FILE, REWRITE_BYTES
from rooklug.core.control_state import ControlState
from rooklug.core.disk import Continuation, Disk
from rooklug.core.log import ReplicatedLog
from rooklug.core.records import position_from_wire, position_to_wire
from rooklug.core.types import Position
from rooklug.wire.codec import decode, encode
from rooklug.wire.generated.core.ttypes import (
    CutRecord,
    EntryRecord,
    LogEntry,
    LogRecord,
    SnapshotHeader,
)


class ReplicaStore:
    """One core's replica of the control state.

    ``written`` is the last sequence whose write was issued, ``synced`` the last one that is
    durable, and ``committed`` the last one known to be committed; ``state`` is the result of the
    committed entries.
    """

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._generation = 0
        self._file_bytes = 0
        self._snapshot_bytes = 0
        self.log = ReplicatedLog()
        self.state = ControlState()
        self.synced = 0
        self.written = 0

    @property
    def committed(self) -> int:
        """The last sequence known to be committed."""
        return self.state.position.sequence

    @property
    def last(self) -> Position:
        """The position of the last entry in memory, synced or not."""
        return self.log.last

    def load(self, records: Iterable[bytes]) -> str:
        """Restore the replica from the file's records; return the problem found, "" if none.

        The records before the first invalid one are kept.
        """
        reader = RecordReader()
        problem = ""
        for data in records:
            self._file_bytes += len(data)
            problem = reader.read(data)
            if problem:
                break
        problem = problem or reader.unfinished()
        self.log, self.state = reader.log, reader.state
        self.synced = self.written = self.last.sequence
        self.commit_to(reader.committed)
        return problem

    def write_entries(
        self, entries: Sequence[LogEntry], now: float, then: Continuation | None = None
    ) -> None:
        """Write entries that are already in the log in memory to the file, and sync it."""
        records = [
            encode(LogRecord(entry=EntryRecord(entry=entry, committed=self.committed)))
            for entry in entries
        ]
        last = self.written = entries[-1].sequence
        self._append(records, now, self._when_synced(last, then))

    def after_entries(self, entries: Sequence[LogEntry], now: float, then: Continuation) -> None:
        """Write ``entries``, if any, and run ``then`` once all writes issued so far are synced."""
        if entries:
            self.write_entries(entries, now)
        self._disk.after_sync(now, then)

    def truncate_after(self, sequence: int, now: float) -> None:
        """Remove the entries with a higher sequence, in memory and on disk."""
        if sequence >= self.last.sequence:
            return
        self.log.truncate_after(sequence)
        self.synced = min(self.synced, sequence)
        self.written = min(self.written, sequence)
        self._generation += 1
        self._append([encode(LogRecord(cut=CutRecord(after=sequence)))], now, None)

    def forget_unwritten(self) -> None:
        """Remove the entries whose write was never issued: no core has acknowledged them."""
        self.log.truncate_after(self.written)

    def commit_to(self, sequence: int) -> list[LogEntry]:
        """Apply the entries up to ``sequence`` that the log has; return those newly applied."""
        last = min(sequence, self.last.sequence)
        if last <= self.committed:
            return []
        entries = self.log.between(self.committed, last)
        for entry in entries:
            self.state.apply(entry)
        return entries

    def install(self, position: Position, chunks: Sequence[bytes], now: float) -> str:
        """Replace the replica by a snapshot; return the problem with the snapshot, "" if none."""
        header = SnapshotHeader(position=position_to_wire(position), parts=len(chunks))
        records = [encode(LogRecord(snapshot=header)), *chunks]
        reader = RecordReader()
        for record in records:
            problem = reader.read(record)
            if problem:
                return problem
        self.log, self.state = reader.log, reader.state
        self.synced = 0
        self._rewrite(records, now)
        return ""

    def rewrite_all(self, now: float) -> None:
        """Rewrite the file as a snapshot of the committed state and the entries after it."""
        self.log.compact(self.state.position)
        self._rewrite([*self.snapshot_records(), *self._entry_records()], now)

    def compact_if_long(self, now: float) -> None:
        """Rewrite the file if it is much larger than its snapshot (``REWRITE_BYTES``)."""
        if self._file_bytes > REWRITE_BYTES + 2 * self._snapshot_bytes:
            self.rewrite_all(now)

    def snapshot_records(self) -> list[bytes]:
        """Return a snapshot of the committed state: a header record, then the chunks."""
        chunks = [encode(chunk) for chunk in self.state.snapshot_chunks()]
        position = position_to_wire(self.state.position)
        header = SnapshotHeader(position=position, parts=len(chunks))
        return [encode(LogRecord(snapshot=header)), *chunks]

    def _entry_records(self) -> list[bytes]:
        committed = self.committed
        return [
            encode(LogRecord(entry=EntryRecord(entry=entry, committed=committed)))
            for entry in self.log.entries
        ]

    def _rewrite(self, records: list[bytes], now: float) -> None:
        self._generation += 1
        self._file_bytes = self._snapshot_bytes = sum(len(record) for record in records)
        self.written = self.last.sequence
        self._disk.rewrite(LOG_FILE, records, now, self._when_synced(self.last.sequence, None))

    def _append(self, records: list[bytes], now: float, then: Continuation | None) -> None:
        self._file_bytes += sum(len(record) for record in records)
        self._disk.append(LOG_FILE, records, now, then)

    def _when_synced(self, last: int, then: Continuation | None) -> Continuation:
        generation = self._generation

        def synced(now: float) -> None:
            if generation == self._generation:
                self.synced = max(self.synced, last)
            if then is not None:
                then(now)

        return synced


class RecordReader:
    """Restores a replica from the records of its file, which are read in order."""

    def __init__(self) -> None:
        self.log = ReplicatedLog()
        self.state = ControlState()
        self.committed = 0
        self._chunks_missing = 0

    def read(self, data: bytes) -> str:
        """Apply one record; return the problem with it, "" if none."""
        decoded = decode(LogRecord, data)
        if decoded.is_error():
            return decoded.error.message
        record = decoded.ok
        if record.part is not None:
            return self._read_chunk(record)
        if self._chunks_missing:
            return "a snapshot chunk is missing"
        if record.snapshot is not None:
            return self._read_snapshot(record.snapshot)
        if record.entry is not None:
            return self._read_entry(record.entry)
        if record.cut is not None:
            return self._read_truncation(record.cut)
        return "an empty record"

    def unfinished(self) -> str:
        """Check the end of the file; return the problem, "" if none.

        An incomplete snapshot is discarded.
        """
        if not self._chunks_missing:
            return ""
        self.log, self.state, self.committed = ReplicatedLog(), ControlState(), 0
        return "the snapshot is incomplete"

    def _read_snapshot(self, header: SnapshotHeader) -> str:
        if self.log.entries or self.state.position.sequence:
            return "a snapshot in the middle of the file"
        position = position_from_wire(header.position)
        self.log = ReplicatedLog(position)
        self.state.position = position
        self.committed = position.sequence
        self._chunks_missing = header.parts
        return ""

    def _read_chunk(self, record: LogRecord) -> str:
        if not self._chunks_missing:
            return "a snapshot chunk without its header"
        self.state.load_chunk(record.part)
        self._chunks_missing -= 1
        return ""

    def _read_entry(self, record: EntryRecord) -> str:
        if not self.log.append(record.entry):
            return f"entry {record.entry.sequence} doesn't follow {self.log.last.sequence}"
        self.committed = max(self.committed, record.committed)
        return ""

    def _read_truncation(self, record: CutRecord) -> str:
        if not self.committed <= record.after <= self.log.last.sequence:
            return f"a cut after {record.after} of committed or missing entries"
        self.log.truncate_after(record.after)
        return ""
