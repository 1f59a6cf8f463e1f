"""Keys, shards and claim records."""

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
    """Return what identifies a once-only request: its route and the caller's key."""
    return route.encode() + _SEPARATOR + key.encode()


def key_digest(route: str, key: str) -> bytes:
    """Return the 16 bytes that stand for a key everywhere but at the front that serves it."""
    return sha256(key_bytes(route, key)).digest()[:DIGEST_BYTES]


def payload_digest(canonical_payload: bytes) -> bytes:
    """Return the 16 bytes by which a repeat's payload is compared with the first one's."""
    return sha256(canonical_payload).digest()[:DIGEST_BYTES]


def shard_of(route: str, key: str) -> int:
    """Return the claim shard of a key."""
    return xxhash.xxh64_intdigest(key_bytes(route, key)) % CLAIM_SHARDS


def role_key_of(shard: int) -> str:
    """Return the singleton role that owns a shard."""
    return f"{ROLE_CLAIMS_PREFIX}{shard}"


def claim_order(claim: ClaimRecord) -> ClaimOrder:
    """Return the sort key of claims: of two records of a key the higher one counts."""
    return (claim.epoch, claim.counter, claim.sequence)


def same_attempt(first: ClaimRecord, second: ClaimRecord) -> bool:
    """Return whether two records are of one attempt of one process."""
    return attempt_identity(first) == attempt_identity(second)


def attempt_identity(claim: ClaimRecord) -> tuple[Any, ...]:
    """Return what names an attempt: the front, its incarnation, and the attempt's number."""
    return (claim.key_digest, claim.asker_id, claim.asker_incarnation, claim.attempt)


def decode_claims(encoded: list[bytes]) -> list[ClaimRecord]:
    """Return the records that can be read; what isn't a record is left out."""
    decoded = (decode(ClaimRecord, data) for data in encoded)
    return [result.ok for result in decoded if result.is_ok()]
