"""The committed control state: configuration, change identities, drained zones, zone orders."""

import hashlib
from collections.abc import Iterable
from itertools import islice
from typing import TypeVar

from rooklug.core.constants import CHANGES_PER_CHUNK, OPERATIONS_PER_CHUNK
from rooklug.core.records import position_from_wire, position_to_wire
from rooklug.core.types import START, Position
from rooklug.model.versions import ZERO_VERSION
from rooklug.wire.generated.control.ttypes import ConfigurationBody, VersionMark, ZonesBody
from rooklug.wire.generated.core.ttypes import (
    ConfigurationChange,
    LogEntry,
    LogRecord,
    SnapshotPart,
    ZoneChange,
)

Item = TypeVar("Item")
VERSION_BYTES = 8
CHANGE_BYTES = VERSION_BYTES + hashlib.sha256().digest_size


class ControlState:
    """The result of applying all committed entries up to ``position``.

    ``changes`` maps each accepted version to the SHA-256 digest of the bytes as submitted, and
    ``operations`` maps each zone order's operation id to the order; neither is ever pruned.
    ``document_digest`` is the digest of the committed document, in hexadecimal.
    """

    def __init__(self) -> None:
        self.position: Position = START
        self.configuration: ConfigurationChange | None = None
        self.configuration_epoch = 0
        self.document_digest = ""
        self.changes: dict[int, bytes] = {}
        self.operations: dict[str, ZoneChange] = {}
        self.drained_zones: frozenset[str] = frozenset()
        self.zones_position: Position = START

    @property
    def version(self) -> int:
        """The newest committed configuration version, 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    def apply(self, entry: LogEntry) -> None:
        """Apply the next committed entry."""
        self.position = Position(entry.epoch, entry.sequence)
        if entry.configuration is not None:
            self._set_configuration(entry.configuration, entry.epoch)
            self.changes[entry.configuration.version] = bytes.fromhex(entry.configuration.digest)
        if entry.zone is not None:
            self._set_zone(entry.zone)

    def configuration_version(self) -> VersionMark:
        """Return the epoch of the newest configuration's entry, and its version as the counter."""
        if self.configuration is None:
            return ZERO_VERSION
        return VersionMark(epoch=self.configuration_epoch, counter=self.version)

    def configuration_body(self) -> ConfigurationBody:
        """Return the committed document, or version 0 with an empty document if there is none."""
        document = self.configuration.document if self.configuration else b""
        return ConfigurationBody(
            version=self.version, digest=self.document_digest, document=document
        )

    def zones_version(self) -> VersionMark:
        """Return the position of the newest zone order's entry."""
        return VersionMark(epoch=self.zones_position.epoch, counter=self.zones_position.sequence)

    def zones_body(self) -> ZonesBody:
        """Return the drained zones, sorted."""
        return ZonesBody(emptied_zones=sorted(self.drained_zones))

    def snapshot_chunks(self) -> list[LogRecord]:
        """Return the chunks of a snapshot of this state, each of bounded size."""
        chunks = [
            SnapshotPart(changes=b"".join(map(_pack_change, group)))
            for group in _groups(self.changes.items(), CHANGES_PER_CHUNK)
        ]
        chunks += [
            SnapshotPart(operations=list(group))
            for group in _groups(self.operations.values(), OPERATIONS_PER_CHUNK)
        ]
        if self.configuration is not None:
            chunks.append(
                SnapshotPart(
                    configuration=self.configuration, configuration_epoch=self.configuration_epoch
                )
            )
        chunks.append(
            SnapshotPart(
                emptied_zones=sorted(self.drained_zones),
                zones_position=position_to_wire(self.zones_position),
            )
        )
        return [LogRecord(part=chunk) for chunk in chunks]

    def load_chunk(self, chunk: SnapshotPart) -> None:
        """Restore one chunk of a snapshot."""
        self.changes.update(_unpack_changes(chunk.changes or b""))
        for operation in chunk.operations or ():
            self.operations[operation.operation_id] = operation
        if chunk.configuration is not None:
            self._set_configuration(chunk.configuration, chunk.configuration_epoch or 0)
        if chunk.zones_position is not None:
            self.drained_zones = frozenset(chunk.emptied_zones or ())
            self.zones_position = position_from_wire(chunk.zones_position)

    def _set_configuration(self, change: ConfigurationChange, epoch: int) -> None:
        self.configuration = change
        self.configuration_epoch = epoch
        self.document_digest = document_digest(change.document)

    def _set_zone(self, change: ZoneChange) -> None:
        self.operations[change.operation_id] = change
        if change.emptied:
            self.drained_zones |= {change.zone}
        else:
            self.drained_zones -= {change.zone}
        self.zones_position = self.position


def document_digest(document: bytes) -> str:
    """Return the SHA-256 digest of a document in hexadecimal."""
    return hashlib.sha256(document).hexdigest()


def _pack_change(change: tuple[int, bytes]) -> bytes:
    version, digest = change
    return version.to_bytes(VERSION_BYTES, "big") + digest


def _unpack_changes(data: bytes) -> Iterable[tuple[int, bytes]]:
    for start in range(0, len(data), CHANGE_BYTES):
        digest_start = start + VERSION_BYTES
        version = int.from_bytes(data[start:digest_start], "big")
        yield version, data[digest_start : start + CHANGE_BYTES]


def _groups(items: Iterable[Item], size: int) -> Iterable[list[Item]]:
    iterator = iter(items)
    while group := list(islice(iterator, size)):
        yield group
