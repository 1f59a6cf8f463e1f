"""Generates stored data and frames, for comparison with those of an earlier version.

``tests/data`` has the output of this module at revision a2df920, before names were changed: one
frame of every thrift struct, the data folders of cores whose members were replaced and whose log
was compacted, a log with a truncated tail, and the files of a claim store.
``python -m tests.stored_data`` writes it again, but for the folders of that revision.
"""

import itertools
import json
import shutil
from hashlib import sha256
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

from thrift.Thrift import TType

from rooklug.core import group_reports
from rooklug.core.disk import Disk
from rooklug.core.outbox import Outbox
from rooklug.core.store import ReplicaStore
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.front.once_only.claim_store import ClaimStore
from rooklug.storage.folder import open_folder
from rooklug.wire.codec import encode
from rooklug.wire.frames import Message, encode_frame
from rooklug.wire.generated.claims.ttypes import (
    ClaimRecord,
    RecordClaimsRequest,
    RestoreClaimsRequest,
)
from rooklug.wire.generated.control.ttypes import VersionMark
from rooklug.wire.generated.core.ttypes import LogEntry, ZoneChange
from rooklug.wire.registry import struct_classes
from tests.core_cluster import Cluster
from tests.core_oracle import OperatorChange, Oracle

DATA = Path(__file__).resolve().parent / "data"
FRAMES_FILE = DATA / "frames.json"
CLAIMS_FILE = DATA / "claim-store.json"
TRUNCATED_LOG_FILE = DATA / "cut-log.json"
FOLDERS = DATA / "core-folders"
FOUNDERS_FOLDERS = DATA / "core-folders-founders"
"""Written since the founders form the first view by a view change and record that they do."""
SAMPLE_NUMBER = 7
MAX_NESTING_DEPTH = 4
FIELDS_ADDED_SINCE = frozenset({"core_zone", "founders", "group_is_starting", "reported_epoch"})
"""Optional fields that revision a2df920 didn't have: it skips them, and its frames lack them."""


def sample(struct_class: type, depth: int = 0) -> Any:
    """Return a struct with every field set to a value that depends only on its number and type."""
    fields = {
        spec[2]: _sample_value(spec[1], spec[3], spec[0], depth)
        for spec in struct_class.thrift_spec
        if spec and spec[2] not in FIELDS_ADDED_SINCE
    }
    return struct_class(**{name: value for name, value in fields.items() if value is not None})


def _sample_value(kind: int, argument: Any, number: int, depth: int) -> Any:
    if kind == TType.BOOL:
        return number % 2 == 1
    if kind in (TType.BYTE, TType.I16, TType.I32, TType.I64):
        return number + SAMPLE_NUMBER
    if kind == TType.DOUBLE:
        return number + 0.5
    if kind == TType.STRING:
        return b"bytes %d" % number if argument == "BINARY" else f"text {number}"
    if kind == TType.STRUCT:
        return sample(argument[0], depth + 1) if depth < MAX_NESTING_DEPTH else None
    if kind in (TType.LIST, TType.SET):
        return [_sample_value(argument[0], argument[1], number, depth)]
    if kind == TType.MAP:
        key = _sample_value(argument[0], argument[1], number, depth)
        return {key: _sample_value(argument[2], argument[3], number, depth)}
    raise AssertionError(f"no sample for thrift type {kind}")


def frames() -> dict[str, str]:
    """Return one frame of every struct, in hexadecimal, by the struct's name."""
    return {
        name: encode_frame(Message(SAMPLE_NUMBER, False, "sender", sample(struct_class))).ok.hex()
        for name, struct_class in sorted(struct_classes().items())
    }


def replaced_cluster() -> Cluster:
    """Return a cluster that accepted changes, compacted its logs and had a member replaced."""
    # The stored folders were written when blank cores didn't listen to nodes; when the first view
    # forms decides what lies in the files, not how.
    with mock.patch.object(group_reports, "GROUP_REPORT_WINDOW_S", 0.0):
        return _replaced_cluster(Cluster(seed=24))


def _replaced_cluster(cluster: Cluster) -> Cluster:
    for core_id, core in cluster.cores.items():
        core.disk.identity = disk_identity(core_id)
    oracle = Oracle(cluster)
    cluster.start_all()
    for version in (1, 2, 3):
        _change(cluster, oracle, version)
    for core in cluster.cores.values():
        core.component.store.rewrite_all(cluster.now)
    cluster.run(cluster.now + 1.0)
    gone = next(i for i in cluster.cores if i != cluster.primary().core_id)
    cluster.crash(gone)
    cluster.remove(gone)
    cluster.add("core-d")
    cluster.run(cluster.now + 10.0)
    _change(cluster, oracle, 4)
    cluster.run(cluster.now + 1.0)
    return cluster


def _change(cluster: Cluster, oracle: Oracle, version: int) -> None:
    operator_change = OperatorChange(version, b"{%d}" % version, None)
    cluster.run(cluster.now + 5.0, lambda: cluster.primary() is not None)
    oracle.send(operator_change, cluster.primary().core_id)
    assert cluster.run(cluster.now + 5.0, lambda: operator_change.accepted)


def disk_identity(core_id: str) -> str:
    """Return the identity of a founder's data folder."""
    return sha256(core_id.encode()).hexdigest()[:32]


def write_folders(target: Path) -> dict[str, str]:
    """Write the founders' data folders; return each core's disk identity."""
    identities = {}
    for core_id, core in replaced_cluster().cores.items():
        if core.disk.identity != disk_identity(core_id):
            continue  # not a founder: its simulated identity isn't valid for a data folder
        identity = bytes.fromhex(core.disk.identity)
        with mock.patch("os.urandom", return_value=identity):
            folder, _ = open_folder(str(target / core_id), core_id).ok
        for file, records in sorted(core.disk.files.items()):
            folder.append(file, records)
            folder.sync(file)
        folder.close()
        (target / core_id / "lock").unlink()
        identities[core_id] = core.disk.identity
    return identities


def truncated_log() -> list[str]:
    """Return the records of a log whose uncommitted tail was truncated and written again."""
    outbox = Outbox(Identifiers(itertools.count(1)))
    store = ReplicaStore(Disk(outbox))
    for epoch, sequence in ((3, 1), (3, 2), (3, 3)):
        _append(store, epoch, sequence)
    store.commit_to(1)
    store.truncate_after(1, 0.0)
    _append(store, 4, 2)
    written = [effect for effect in outbox.take() if isinstance(effect, fx.WriteRecords)]
    return [record.hex() for effect in written for record in effect.records]


def _append(store: ReplicaStore, epoch: int, sequence: int) -> None:
    change = ZoneChange(zone=f"zone-{sequence}", emptied=True, operation_id=f"{epoch}/{sequence}")
    entry = LogEntry(epoch=epoch, sequence=sequence, zone=change)
    store.log.append(entry)
    store.write_entries([entry], 0.0)


def claim_store(records: dict[str, tuple[bytes, ...]]) -> ClaimStore:
    """Return a claim store that was started with ``records``, by file name."""
    context = ProcessContext("core-a", "core-a-1", Random(1), Identifiers(itertools.count(1)))
    store = ClaimStore(context)
    store.handle(ev.Started(records, "disk", "" if records else "blank"), 0.0)
    return store


def claim_store_files() -> dict[str, list[str]]:
    """Return the records that a claim store writes for restored and new claims, by file name."""
    store = claim_store({})
    token = VersionMark(epoch=5, counter=2)
    claims = [encode(claim(number)) for number in (1, 2, 3)]
    requests = [
        RestoreClaimsRequest(shard=3, token=token, incarnation="core-a-1", claims=claims[:1]),
        RecordClaimsRequest(shard=3, token=token, claims=claims[1:]),
    ]
    files: dict[str, list[str]] = {}
    for call_id, request in enumerate(requests):
        for effect in store.handle(ev.CallArrived(call_id, "front", request), 1.0):
            if isinstance(effect, fx.WriteRecords):
                files.setdefault(effect.file, []).extend(r.hex() for r in effect.records)
    return files


def claim(number: int) -> ClaimRecord:
    """Return a claim whose fields depend on ``number``; the tests store it in shard 3."""
    return ClaimRecord(
        key_digest=sha256(b"%d" % number).digest()[:16],
        epoch=5,
        counter=2,
        sequence=number,
        asker_id="front-a",
        asker_incarnation="front-a-1",
        attempt=number,
        copy_id="front-b",
    )


def main() -> None:
    """Write the files of ``tests/data`` again."""
    shutil.rmtree(FOUNDERS_FOLDERS, ignore_errors=True)
    FOUNDERS_FOLDERS.mkdir(parents=True)
    write_folders(FOUNDERS_FOLDERS)
    for path, content in (
        (FRAMES_FILE, frames()),
        (TRUNCATED_LOG_FILE, truncated_log()),
        (CLAIMS_FILE, claim_store_files()),
    ):
        path.write_text(json.dumps(content, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    main()
