"""The replica store against a model: restarts, truncation, rewrites, damage, log comparison."""

import hashlib
import itertools
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from rooklug.core import control_state
from rooklug.core.disk import Disk
from rooklug.core.log import ReplicatedLog
from rooklug.core.outbox import Outbox
from rooklug.core.store import RecordReader, ReplicaStore
from rooklug.core.types import Position
from rooklug.engine import effects as fx
from rooklug.engine.reducer import Identifiers
from rooklug.wire.codec import encode
from rooklug.wire.generated.core.ttypes import ConfigurationChange, LogEntry, ZoneChange

FUZZ = settings(derandomize=True, deadline=None, max_examples=150)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.integers(0, 2)),
        st.tuples(st.just("cut"), st.integers(0, 3)),
        st.tuples(st.just("commit"), st.integers(0, 3)),
        st.tuples(st.just("rewrite"), st.just(0)),
        st.tuples(st.just("restart"), st.just(0)),
    ),
    max_size=30,
)


class StoreOnDisk:
    """A store whose writes are applied at once to a list of records, and a model of it."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.model: list[LogEntry] = []
        self.committed = 0
        self.epoch = 1
        self.open()

    def open(self) -> str:
        self.outbox = Outbox(Identifiers(itertools.count(1)))
        self.disk = Disk(self.outbox)
        self.store = ReplicaStore(self.disk)
        return self.store.load(self.records)

    def sync(self) -> None:
        for effect in self.outbox.take():
            if isinstance(effect, fx.RewriteFile):
                self.records = list(effect.records)
            else:
                self.records += effect.records
            self.disk.on_write_finished(effect.ticket, 0.0)

    def step(self, kind: str, size: int) -> None:
        if kind == "append":
            self.epoch += size
            entry = new_entry(self.epoch, len(self.model) + 1)
            self.model.append(entry)
            self.store.log.append(entry)
            self.store.write_entries([entry], 0.0)
        elif kind == "cut":
            last = max(self.committed, len(self.model) - size)
            del self.model[last:]
            self.store.truncate_after(last, 0.0)
        elif kind == "commit":
            self.committed = min(len(self.model), self.committed + size)
            self.store.commit_to(self.committed)
        elif kind == "rewrite":
            self.store.rewrite_all(0.0)
        self.sync()
        if kind == "restart":
            self.open()
            self.store.commit_to(self.committed)


def new_entry(epoch: int, sequence: int) -> LogEntry:
    if sequence % 3 == 0:
        zone = ZoneChange(zone=f"z{sequence % 2}", emptied=True, operation_id=f"op{sequence}")
        return LogEntry(epoch=epoch, sequence=sequence, zone=zone)
    document = b"%d:%d" % (epoch, sequence)
    digest = hashlib.sha256(document).hexdigest()
    change = ConfigurationChange(version=sequence, digest=digest, document=document)
    return LogEntry(epoch=epoch, sequence=sequence, configuration=change)


def run_steps(steps: list[tuple[str, int]]) -> StoreOnDisk:
    on_disk = StoreOnDisk()
    for kind, size in steps:
        on_disk.step(kind, size)
    return on_disk


class StoreTest(unittest.TestCase):
    @FUZZ
    @given(STEPS)
    def test_restart_restores_what_was_written(self, steps: list[tuple[str, int]]) -> None:
        on_disk = run_steps(steps)
        with mock.patch.object(control_state, "CHANGES_PER_CHUNK", 2):
            on_disk.step("rewrite", 0)
        self.assertEqual(on_disk.open(), "")
        store, model = on_disk.store, on_disk.model
        self.assertEqual(store.last.sequence, len(model))
        self.assertEqual(store.log.entries, model[store.log.base.sequence :])
        committed = model[: on_disk.committed]
        changes = {e.configuration.version: e.configuration for e in committed if e.configuration}
        self.assertEqual(
            {version: digest.hex() for version, digest in store.state.changes.items()},
            {version: change.digest for version, change in changes.items()},
        )
        newest = changes[max(changes)].document if changes else b""
        self.assertEqual(store.state.configuration_body().document, newest)
        operations = {e.zone.operation_id for e in committed if e.zone}
        self.assertEqual(set(store.state.operations), operations)

    @FUZZ
    @given(STEPS, st.data())
    def test_missing_record_is_reported_or_has_no_effect(
        self, steps: list[tuple[str, int]], data: st.DataObject
    ) -> None:
        on_disk = run_steps(steps)
        on_disk.open()
        whole = on_disk.store.log.entries
        if len(on_disk.records) < 2:
            return
        missing = data.draw(st.integers(0, len(on_disk.records) - 2))
        del on_disk.records[missing]
        problem = on_disk.open()
        if not problem:
            self.assertEqual(on_disk.store.log.entries, whole)

    @FUZZ
    @given(st.lists(st.binary(max_size=60), max_size=4))
    def test_random_records_are_reported_without_an_exception(self, records: list[bytes]) -> None:
        reader = RecordReader()
        problems = [reader.read(record) for record in records]
        self.assertTrue(all(isinstance(problem, str) for problem in problems))

    def test_incomplete_snapshot_is_discarded(self) -> None:
        on_disk = run_steps([("append", 0), ("append", 0), ("commit", 2), ("rewrite", 0)])
        self.assertGreater(len(on_disk.records), 2)
        on_disk.records.pop()
        self.assertIn("snapshot", on_disk.open())
        self.assertEqual(on_disk.store.last, Position(0, 0))

    def test_long_file_is_rewritten(self) -> None:
        on_disk = StoreOnDisk()
        with mock.patch("rooklug.core.store.REWRITE_BYTES", 2000):
            for _ in range(200):
                on_disk.step("append", 0)
                on_disk.step("commit", 1)
                on_disk.store.compact_if_long(0.0)
                on_disk.sync()
        everything = sum(len(encode(entry)) for entry in on_disk.model)
        self.assertLess(sum(map(len, on_disk.records)), everything)
        self.assertEqual(on_disk.open(), "")
        self.assertEqual(on_disk.store.last.sequence, 200)


EPOCHS = st.lists(st.integers(1, 4), max_size=8).map(sorted)


def log_of(epochs: list[int], base: int) -> ReplicatedLog:
    base = min(base, len(epochs))
    log = ReplicatedLog(Position(epochs[base - 1] if base else 0, base))
    for sequence in range(base + 1, len(epochs) + 1):
        log.append(LogEntry(epoch=epochs[sequence - 1], sequence=sequence))
    return log


class ComparisonTest(unittest.TestCase):
    @FUZZ
    @given(EPOCHS, EPOCHS, st.integers(0, 4), st.integers(0, 4))
    def test_matched_sequence_is_the_longest_shared_position(
        self, mine: list[int], other: list[int], my_base: int, other_base: int
    ) -> None:
        one, two = log_of(mine, my_base), log_of(other, other_base)
        shared = [
            n
            for n in range(
                max(one.base.sequence, two.base.sequence), min(len(mine), len(other)) + 1
            )
            if one.position_at(n) == two.position_at(n)
        ]
        expected = max(shared, default=None)
        self.assertEqual(one.matched_sequence(two.base, two.runs(), two.last), expected)
