"""The format of record files: ``length | crc32c | payload``, both numbers 4 bytes big-endian.

The checksum covers the length and the payload, so a damaged length is detected too.
"""

import struct
from collections.abc import Iterable
from itertools import pairwise

import attrs
import google_crc32c
from expression import Error, Ok, Result

MAX_RECORD_BYTES = 64 * 1024 * 1024
_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">II")
HEADER_BYTES = _HEADER.size
_SECTOR_BYTES = 512


@attrs.frozen
class DamagedRecord:
    """An invalid record that isn't a torn write; ``offset`` is in bytes from the file's start."""

    offset: int
    message: str


@attrs.frozen
class ReadRecords:
    """The valid records at the start of a file; ``torn_bytes`` is the size of the torn tail."""

    payloads: tuple[bytes, ...]
    valid_bytes: int
    torn_bytes: int


def encode_record(payload: bytes) -> bytes:
    """Return the bytes of a record: header and payload."""
    length = _LENGTH.pack(len(payload))
    checksum = google_crc32c.extend(google_crc32c.value(length), payload)
    return length + _LENGTH.pack(checksum) + payload


def encode_records(payloads: Iterable[bytes]) -> bytes:
    """Return the bytes of several records, to be written in one call."""
    return b"".join(encode_record(payload) for payload in payloads)


def read_records(data: bytes) -> Result[ReadRecords, DamagedRecord]:
    """Read the records of a file with the content ``data``.

    The bytes after the last valid record are a torn tail, which the caller truncates, if they
    are shorter than the record that they start or if one of its disk sectors was never written
    (reads as zeros). Any other invalid record is damage, and so is any invalid record that is
    followed by a valid one. A damaged length of the very last record can't be distinguished from
    a torn tail.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _record_at(data, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    damage = _damage_at(data, offset)
    if damage is not None:
        return Error(damage)
    return Ok(ReadRecords(tuple(payloads), offset, len(data) - offset))


def _damage_at(data: bytes, offset: int) -> DamagedRecord | None:
    if offset == len(data):
        return None
    if not _looks_torn(data, offset):
        return DamagedRecord(offset, f"wrong checksum at byte {offset}")
    following = _next_valid_record(data, offset + 1)
    if following is None:
        return None
    return DamagedRecord(
        offset, f"invalid record at byte {offset} before a valid one at byte {following}"
    )


def _looks_torn(data: bytes, offset: int) -> bool:
    if offset + HEADER_BYTES > len(data):
        return True
    length = _LENGTH.unpack_from(data, offset)[0]
    if offset + HEADER_BYTES + length > len(data):
        return True
    end = offset + HEADER_BYTES + length
    boundaries = [offset, *range(offset - offset % _SECTOR_BYTES, end, _SECTOR_BYTES)[1:], end]
    sectors = pairwise(boundaries)
    return any(not any(data[start:stop]) for start, stop in sectors)


def _record_at(data: bytes, offset: int) -> bytes | None:
    if offset + HEADER_BYTES > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    end = offset + HEADER_BYTES + length
    if length > MAX_RECORD_BYTES or end > len(data):
        return None
    payload = data[offset + HEADER_BYTES : end]
    actual = google_crc32c.extend(google_crc32c.value(data[offset : offset + 4]), payload)
    return payload if actual == checksum else None


def _next_valid_record(data: bytes, start: int) -> int | None:
    for offset in range(start, len(data) - HEADER_BYTES + 1):
        if _record_at(data, offset) is not None:
            return offset
    return None
