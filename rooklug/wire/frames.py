"""Frames of the internal channel: a 4-byte big-endian length, then one envelope."""

import struct
from typing import Any

import attrs
from expression import Error, Ok, Result

from rooklug.wire.codec import WireError, decode, encode
from rooklug.wire.generated.envelope.ttypes import Envelope
from rooklug.wire.registry import struct_classes

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Maximum size of an encoded envelope, without the length prefix."""
LENGTH_BYTES = 4
_LENGTH = struct.Struct(">I")


@attrs.frozen
class Message:
    """One decoded frame.

    ``call_id`` is assigned by the caller and repeated in the answer; ``sender`` is the sending
    node's id; ``body`` is a thrift struct.
    """

    call_id: int
    is_answer: bool
    sender: str
    body: Any


def encode_frame(message: Message) -> Result[bytes, WireError]:
    """Return the encoded frame, or an error if its envelope exceeds ``MAX_FRAME_BYTES``."""
    envelope = Envelope(
        call_id=message.call_id,
        is_answer=message.is_answer,
        type_name=type(message.body).__name__,
        sender=message.sender,
        body=encode(message.body),
    )
    payload = encode(envelope)
    if len(payload) > MAX_FRAME_BYTES:
        return Error(WireError(f"{envelope.type_name}: frame of {len(payload)} bytes is too large"))
    return Ok(_LENGTH.pack(len(payload)) + payload)


def payload_length(header: bytes) -> Result[int, WireError]:
    """Decode the length prefix; a length above ``MAX_FRAME_BYTES`` is an error."""
    (length,) = _LENGTH.unpack(header)
    if length > MAX_FRAME_BYTES:
        return Error(WireError(f"frame of {length} bytes is too large"))
    return Ok(length)


def decode_payload(payload: bytes) -> Result[Message, WireError]:
    """Decode an envelope and its body; a malformed one or an unknown type is an error."""
    return decode(Envelope, payload).bind(_decode_body)


def _decode_body(envelope: Envelope) -> Result[Message, WireError]:
    struct_class = struct_classes().get(envelope.type_name)
    if struct_class is None:
        return Error(WireError(f"unknown type {envelope.type_name[:80]!r}"))
    return decode(struct_class, envelope.body).map(
        lambda body: Message(envelope.call_id, envelope.is_answer, envelope.sender, body)
    )
