"""Compression of bodies sent to every node: they are long and repeat the same names.

A packed body is a zlib stream. Its first byte (RFC 1950) can't be the first byte of a thrift
compact struct whose first field is set, so ``decode_packed`` tells packed bodies from plain ones.
Short bodies are sent uncompressed.
"""

import zlib

from expression import Error, Ok, Result

from rooklug.wire.codec import Struct, ThriftStruct, WireError, decode, encode
from rooklug.wire.frames import MAX_FRAME_BYTES

PACK_ABOVE_BYTES = 1024
_ZLIB_LEVEL = 6
_ZLIB_FIRST_BYTE = 0x78


def encode_packed(struct: ThriftStruct) -> bytes:
    """Return the encoded struct, compressed if it is longer than ``PACK_ABOVE_BYTES``."""
    data = encode(struct)
    return data if len(data) <= PACK_ABOVE_BYTES else zlib.compress(data, _ZLIB_LEVEL)


def decode_packed(struct_type: type[Struct], data: bytes) -> Result[Struct, WireError]:
    """Decode the result of ``encode_packed`` or ``encode``; malformed is a ``WireError``."""
    return _decompressed(data).bind(lambda unpacked: decode(struct_type, unpacked))


def _decompressed(data: bytes) -> Result[bytes, WireError]:
    """Return the uncompressed bytes, at most ``MAX_FRAME_BYTES`` (guards against zip bombs)."""
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
