"""This version reads the stored data and frames of revision a2df920 and writes the same bytes."""

import itertools
import json
import shutil
import tempfile
import unittest
from pathlib import Path
from random import Random

from rooklug.core.build import build_core_components
from rooklug.core.control_state_component import ControlStateComponent
from rooklug.core.disk import Disk
from rooklug.core.outbox import Outbox
from rooklug.core.store import ReplicaStore
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.model.settings import CoreSettings, NodeSettings
from rooklug.storage.folder import open_folder
from rooklug.wire.codec import decode, encode
from rooklug.wire.frames import LENGTH_BYTES, decode_payload, payload_length
from rooklug.wire.generated.core.ttypes import CoreMember, LogEntry, WitnessRecord
from rooklug.wire.registry import struct_classes
from tests.core_machine import ADDRESSES, CORE_IDS, STUB_CHECKER
from tests.stored_data import (
    CLAIMS_FILE,
    FOLDERS,
    FOUNDERS_FOLDERS,
    FRAMES_FILE,
    SAMPLE_NUMBER,
    TRUNCATED_LOG_FILE,
    claim_store,
    claim_store_files,
    disk_identity,
    frames,
    sample,
    truncated_log,
    write_folders,
)

FOUNDERS_LEFT = ("core-a", "core-c")
MEMBERS = {"core-a", "core-c", "core-d"}
COMPACTED_AT = {
    FOLDERS: {"core-a": 3, "core-c": 2},
    FOUNDERS_FOLDERS: {"core-a": 3, "core-c": 3},
}
"""The last entry included in the snapshot at the start of each core's log."""
COMMITTED_VERSION = 3
NEWEST_VERSION = 4
"""In the log, but not known to be committed when the folder was written."""


class Frames(unittest.TestCase):
    """Nodes of either version understand each other during a rolling upgrade."""

    def setUp(self) -> None:
        self.stored = {
            name: bytes.fromhex(d) for name, d in json.loads(FRAMES_FILE.read_text()).items()
        }

    def test_every_struct_is_written_as_before(self) -> None:
        self.assertEqual(self.stored, {name: bytes.fromhex(d) for name, d in frames().items()})

    def test_a_field_added_since_is_written_and_read(self) -> None:
        record = sample(WitnessRecord)
        self.assertIsNone(record.founders)
        record.founders = [CoreMember("core-a", "10.0.0.1:7000")]
        self.assertEqual(record, decode(WitnessRecord, encode(record)).ok)

    def test_every_stored_frame_is_read(self) -> None:
        for name, frame in self.stored.items():
            with self.subTest(name):
                header, payload = frame[:LENGTH_BYTES], frame[LENGTH_BYTES:]
                self.assertEqual(len(payload), payload_length(header).ok)
                message = decode_payload(payload).ok
                self.assertEqual(SAMPLE_NUMBER, message.call_id)
                self.assertEqual(sample(struct_classes()[name]), message.body)


class CoreFolders(unittest.TestCase):
    """A core starts from a data folder that an earlier version wrote."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def test_the_folders_are_written_as_before(self) -> None:
        identities = write_folders(self.folder)
        self.assertEqual({core_id: disk_identity(core_id) for core_id in FOUNDERS_LEFT}, identities)
        self.assertEqual(_files(FOUNDERS_FOLDERS), _files(self.folder))

    def test_a_core_starts_from_each_folder(self) -> None:
        for folders in (FOLDERS, FOUNDERS_FOLDERS):
            shutil.copytree(folders, self.folder, dirs_exist_ok=True)
            for core_id in FOUNDERS_LEFT:
                with self.subTest(core_id, folders=folders.name):
                    component = self._started(core_id)
                    self._check(component, core_id, COMPACTED_AT[folders][core_id])
                    recorded = component.witness.state.founders
                    self.assertEqual(bool(recorded), folders == FOUNDERS_FOLDERS)

    def _started(self, core_id: str) -> ControlStateComponent:
        folder, found = open_folder(str(self.folder / core_id), core_id).ok
        folder.close()
        self.assertEqual("", found.problem)
        node = NodeSettings(
            node_id=core_id,
            role="core",
            zone="zone",
            region="region",
            listen_internal=ADDRESSES[core_id],
            listen_http="",
            internal_address=ADDRESSES[core_id],
            http_address="",
            seeds=tuple(ADDRESSES[seed] for seed in CORE_IDS),
        )
        settings = CoreSettings(node, {seed: ADDRESSES[seed] for seed in CORE_IDS})
        context = ProcessContext(core_id, "again", Random(1), Identifiers(itertools.count(1)))
        (component,) = build_core_components(settings, context, STUB_CHECKER)
        component.handle(ev.Started(found.records, found.disk_identity, found.problem), 0.0)
        return component

    def _check(self, component: ControlStateComponent, core_id: str, base: int) -> None:
        state = component.store.state
        self.assertEqual(COMMITTED_VERSION, state.version)
        self.assertEqual(b"{3}", state.configuration.document)
        self.assertEqual([1, 2, 3], sorted(state.changes))
        self.assertEqual(base, component.store.log.base.sequence, "the log was compacted")
        entries = [_version_and_document(entry) for entry in component.store.log.entries]
        after = range(base + 1, NEWEST_VERSION + 1)
        self.assertEqual([(version, b"{%d}" % version) for version in after], entries)
        witness = component.witness.state
        self.assertTrue(witness.voting)
        self.assertEqual(core_id, witness.own.core_id)
        self.assertEqual(MEMBERS, set(witness.view.member_ids))
        self.assertEqual(MEMBERS, {disk.core_id for disk in witness.view.in_sync})


class TruncatedLog(unittest.TestCase):
    """A log whose uncommitted tail was truncated."""

    def test_the_log_is_written_as_before(self) -> None:
        self.assertEqual(json.loads(TRUNCATED_LOG_FILE.read_text()), truncated_log())

    def test_the_log_is_read(self) -> None:
        store = ReplicaStore(Disk(Outbox(Identifiers(itertools.count(1)))))
        records = [bytes.fromhex(record) for record in json.loads(TRUNCATED_LOG_FILE.read_text())]
        self.assertEqual("", store.load(records))
        entries = [(entry.epoch, entry.sequence) for entry in store.log.entries]
        self.assertEqual([(3, 1), (4, 2)], entries)
        self.assertEqual(1, store.committed)


class ClaimStoreFiles(unittest.TestCase):
    """The claims of once-only requests, as stored on a core's disk."""

    def setUp(self) -> None:
        self.stored = json.loads(CLAIMS_FILE.read_text())

    def test_the_files_are_written_as_before(self) -> None:
        self.assertEqual(self.stored, claim_store_files())

    def test_a_store_starts_from_the_files(self) -> None:
        records = {
            file: tuple(bytes.fromhex(record) for record in content)
            for file, content in self.stored.items()
        }
        shard = claim_store(records)._shards[3]
        self.assertEqual((5, 2), shard.fence)
        self.assertTrue(shard.intact)
        self.assertEqual(3, len(shard.claims))


def _version_and_document(entry: LogEntry) -> tuple[int, bytes]:
    return entry.configuration.version, entry.configuration.document


def _files(folder: Path) -> dict[str, bytes]:
    """Return the content of the folder's files by relative path, without the lock file."""
    return {
        str(path.relative_to(folder)): path.read_bytes()
        for path in sorted(folder.rglob("*"))
        if path.is_file() and path.name != "lock"
    }
