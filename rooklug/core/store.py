"""One core's replica: the log on disk and in memory, and the committed state.

The file has a snapshot at its head, then entries and truncations of uncommitted tails.
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

    ``written`` is the last sequence given to the disk, ``synced`` the last one that is durable,
    ``committed`` the last one known to be committed; those are applied to ``state``.
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
        """The end of the log, synced or not."""
        return self.log.last

    def load(self, records: Iterable[bytes]) -> str:
        """Read the file's records; return what is wrong with them, "" if nothing.

        What precedes the first wrong record is kept.
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
        """Append entries, which the log in memory has already, to the file and sync."""
        records = [
            encode(LogRecord(entry=EntryRecord(entry=entry, committed=self.committed)))
            for entry in entries
        ]
        last = self.written = entries[-1].sequence
        self._append(records, now, self._when_synced(last, then))

    def after_entries(self, entries: Sequence[LogEntry], now: float, then: Continuation) -> None:
        """Write ``entries``, if any, and call ``then`` once everything issued so far is synced."""
        if entries:
            self.write_entries(entries, now)
        self._disk.after_sync(now, then)

    def truncate_after(self, sequence: int, now: float) -> None:
        """Drop the entries of a higher sequence, in memory and in the file."""
        if sequence >= self.last.sequence:
            return
        self.log.truncate_after(sequence)
        self.synced = min(self.synced, sequence)
        self.written = min(self.written, sequence)
        self._generation += 1
        self._append([encode(LogRecord(cut=CutRecord(after=sequence)))], now, None)

    def forget_unwritten(self) -> None:
        """Drop the entries that were never given to the disk: nobody has acknowledged them."""
        self.log.truncate_after(self.written)

    def commit_to(self, sequence: int) -> list[LogEntry]:
        """Apply entries up to ``sequence`` and return them."""
        last = min(sequence, self.last.sequence)
        if last <= self.committed:
            return []
        entries = self.log.between(self.committed, last)
        for entry in entries:
            self.state.apply(entry)
        return entries

    def install(self, position: Position, chunks: Sequence[bytes], now: float) -> str:
        """Replace the replica by a snapshot; return what is wrong with it, "" if nothing."""
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
        """Rewrite the file: the committed state as a snapshot, and the entries after it."""
        self.log.compact(self.state.position)
        self._rewrite([*self.snapshot_records(), *self._entry_records()], now)

    def compact_if_long(self, now: float) -> None:
        """Rewrite the file once it is much longer than the state that it represents."""
        if self._file_bytes > REWRITE_BYTES + 2 * self._snapshot_bytes:
            self.rewrite_all(now)

    def snapshot_records(self) -> list[bytes]:
        """Return the committed state as records: a header, then its chunks."""
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
    """Rebuilds a replica from the records of its file, in order."""

    def __init__(self) -> None:
        self.log = ReplicatedLog()
        self.state = ControlState()
        self.committed = 0
        self._chunks_missing = 0

    def read(self, data: bytes) -> str:
        """Take one record; return what is wrong with it, "" if nothing."""
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
        """Return what is wrong with the end, "" if nothing."""
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
