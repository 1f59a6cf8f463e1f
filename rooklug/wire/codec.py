"""Thrift compact encoding of the internal protocol's structs."""

from typing import Any, Protocol, TypeVar

import attrs
from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer


class ThriftStruct(Protocol):
    """What every generated struct can do."""

    def read(self, iprot: Any) -> None:
        """Fill the struct from a protocol."""

    def write(self, oprot: Any) -> None:
        """Write the struct to a protocol."""

    def validate(self) -> None:
        """Raise when a required field is unset."""


Struct = TypeVar("Struct", bound=ThriftStruct)


@attrs.frozen
class WireError:
    """Bytes that are not a struct of the expected type."""

    message: str


def encode(struct: ThriftStruct) -> bytes:
    """Return the compact encoding of a thrift struct.

    Raises
    ------
    TProtocolException
        A required field is unset: a fault of this program, never of the input.
    """
    struct.validate()
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(buffer, fallback=True))
    return buffer.getvalue()


def decode(struct_type: type[Struct], data: bytes) -> Result[Struct, WireError]:
    """Read a struct; any malformed input, or input left over, is a ``WireError``."""
    buffer = TMemoryBuffer(data)
    struct = struct_type()
    try:
        struct.read(TCompactProtocolAccelerated(buffer, fallback=True))
        struct.validate()
    except Exception as problem:  # the library raises many types on garbage
        return Error(WireError(f"{struct_type.__name__}: {type(problem).__name__}: {problem}"))
    if buffer._buffer.read(1):
        return Error(WireError(f"{struct_type.__name__}: bytes left over"))
    return Ok(struct)
