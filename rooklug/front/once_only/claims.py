"""Digests and shards of keys, and the order and identity of claim records."""

from hashlib import sha256
from typing import Any

import xxhash

from rooklug.model.topics import CLAIM_SHARDS, ROLE_CLAIMS_PREFIX
from rooklug.wire.codec import decode
from rooklug.wire.generated.claims.ttypes import ClaimRecord

DIGEST_BYTES = 16
_SEPARATOR = b"\0"

ClaimOrder = tuple[int, int, int]


def key_bytes(route: str, key: str) -> bytes:
    """Return the bytes that identify a once-only request: its route and the caller's key."""
    return route.encode() + _SEPARATOR + key.encode()


def key_digest(route: str, key: str) -> bytes:
    """Return the 16-byte digest used for a key everywhere except at the front that serves it."""
    return sha256(key_bytes(route, key)).digest()[:DIGEST_BYTES]


def payload_digest(canonical_payload: bytes) -> bytes:
    """Return the 16-byte digest by which a repeat's payload is compared with the first one."""
    return sha256(canonical_payload).digest()[:DIGEST_BYTES]


def shard_of(route: str, key: str) -> int:
    """Return the claim shard of a key, from 0 to ``CLAIM_SHARDS`` - 1."""
    return xxhash.xxh64_intdigest(key_bytes(route, key)) % CLAIM_SHARDS


def role_key_of(shard: int) -> str:
    """Return the key of the singleton role whose holder owns a shard."""
    return f"{ROLE_CLAIMS_PREFIX}{shard}"


def claim_order(claim: ClaimRecord) -> ClaimOrder:
    """Return the sort key of a claim; of two claims of a key, the higher one is valid."""
    return (claim.epoch, claim.counter, claim.sequence)


def same_attempt(first: ClaimRecord, second: ClaimRecord) -> bool:
    """Return whether two claims belong to the same attempt."""
    return attempt_identity(first) == attempt_identity(second)


def attempt_identity(claim: ClaimRecord) -> tuple[Any, ...]:
    """Return what identifies an attempt: key, front, the front's incarnation, and number."""
    return (claim.key_digest, claim.asker_id, claim.asker_incarnation, claim.attempt)


def decode_claims(encoded: list[bytes]) -> list[ClaimRecord]:
    """Return the decoded claims, without those that can't be decoded."""
    decoded = (decode(ClaimRecord, data) for data in encoded)
    return [result.ok for result in decoded if result.is_ok()]
