"""The claims of one shard, as its owner knows them."""

from collections.abc import Iterable

import attrs

from rooklug.front.once_only.claims import claim_order
from rooklug.front.once_only.limits import MAX_CLAIMS_PER_SHARD
from rooklug.wire.codec import encode
from rooklug.wire.generated.claims.ttypes import ClaimRecord


@attrs.define
class RecordedClaim:
    """A claim; ``confirmed`` once enough stores have it under the owner's own token."""

    claim: ClaimRecord
    confirmed: bool = False


class ShardTable:
    """Claims by key digest, the oldest first, bounded."""

    def __init__(self) -> None:
        self._claims: dict[bytes, RecordedClaim] = {}

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._claims)

    def find(self, key_digest: bytes) -> RecordedClaim | None:
        """Return the claim of a key."""
        return self._claims.get(key_digest)

    def put(self, claim: ClaimRecord) -> RecordedClaim:
        """Set a key's claim, as the newest."""
        self._claims.pop(claim.key_digest, None)
        recorded = self._claims[claim.key_digest] = RecordedClaim(claim)
        if len(self._claims) > MAX_CLAIMS_PER_SHARD:
            del self._claims[next(iter(self._claims))]
        return recorded

    def merge(self, claims: Iterable[ClaimRecord]) -> None:
        """Take claims from several sources; of two of a key the higher one stays."""
        newest: dict[bytes, ClaimRecord] = {
            key: recorded.claim for key, recorded in self._claims.items()
        }
        for claim in claims:
            known = newest.get(claim.key_digest)
            if known is None or claim_order(claim) > claim_order(known):
                newest[claim.key_digest] = claim
        ordered = sorted(newest.values(), key=lambda claim: (claim_order(claim), claim.key_digest))
        newest_claims = ordered[-MAX_CLAIMS_PER_SHARD:]
        self._claims = {claim.key_digest: RecordedClaim(claim) for claim in newest_claims}

    def encoded(self) -> list[bytes]:
        """Return all claims, encoded, the oldest first."""
        return [encode(recorded.claim) for recorded in self._claims.values()]
