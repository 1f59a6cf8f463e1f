"""Compression of bodies that go to every node: they are long and repeat the same names.

A packed body begins with the byte of a zlib stream (RFC 1950), which no compact struct with
a first field begins with; short bodies stay as they are. Readers take both.
"""

import zlib

from expression import Error, Ok, Result

from rooklug.wire.codec import Struct, ThriftStruct, WireError, decode, encode
from rooklug.wire.frames import MAX_FRAME_BYTES

PACK_ABOVE_BYTES = 1024
_LEVEL = 6
_ZLIB_FIRST_BYTE = 0x78


def encode_packed(struct: ThriftStruct) -> bytes:
    """Return the encoding of a struct, compressed if it is long."""
    data = encode(struct)
    return data if len(data) <= PACK_ABOVE_BYTES else zlib.compress(data, _LEVEL)


def decode_packed(struct_type: type[Struct], data: bytes) -> Result[Struct, WireError]:
    """Read a struct made by ``encode_packed`` or ``encode``; garbage is a ``WireError``."""
    return _unpacked(data).bind(lambda unpacked: decode(struct_type, unpacked))


def _unpacked(data: bytes) -> Result[bytes, WireError]:
    """Return the plain bytes; never more than a frame may hold."""
    if data[:1] != bytes([_ZLIB_FIRST_BYTE]):
        return Ok(data)
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as problem:
        return Error(WireError(f"packed body: {problem}"))
    if not reader.eof or reader.unused_data:
        return Error(WireError("packed body: cut off, too long, or bytes left over"))
    return Ok(plain)
