"""Thrift compact encoding of the internal protocol's structs."""

from typing import Any, Protocol, TypeVar

import attrs
from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer


class ThriftStruct(Protocol):
    """The interface of every generated struct."""

    def read(self, iprot: Any) -> None:
        """Read the fields from a thrift protocol; unknown fields are skipped."""

    def write(self, oprot: Any) -> None:
        """Write the fields that are set to a thrift protocol."""

    def validate(self) -> None:
        """Raise ``TProtocolException`` if a required field is unset."""


Struct = TypeVar("Struct", bound=ThriftStruct)


@attrs.frozen
class WireError:
    """A struct that can't be encoded within bounds, or bytes that can't be decoded."""

    message: str


def encode(struct: ThriftStruct) -> bytes:
    """Return the compact encoding of a thrift struct.

    Raises
    ------
    TProtocolException
        A required field is unset: a bug of this program, never caused by input.
    """
    struct.validate()
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(buffer, fallback=True))
    return buffer.getvalue()


def decode(struct_type: type[Struct], data: bytes) -> Result[Struct, WireError]:
    """Decode a struct; malformed input and trailing bytes are returned as a ``WireError``."""
    buffer = TMemoryBuffer(data)
    struct = struct_type()
    try:
        struct.read(TCompactProtocolAccelerated(buffer, fallback=True))
        struct.validate()
    except Exception as problem:  # the library raises many types on malformed input
        return Error(WireError(f"{struct_type.__name__}: {type(problem).__name__}: {problem}"))
    if buffer._buffer.read(1):
        return Error(WireError(f"{struct_type.__name__}: bytes left over"))
    return Ok(struct)
