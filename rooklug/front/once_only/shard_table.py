"""The claims of one shard that its owner knows."""

from collections.abc import Iterable

import attrs

from rooklug.front.once_only.claims import claim_order
from rooklug.front.once_only.limits import MAX_CLAIMS_PER_SHARD
from rooklug.wire.codec import encode
from rooklug.wire.generated.claims.ttypes import ClaimRecord


@attrs.define
class RecordedClaim:
    """A claim; ``confirmed`` once a quorum has recorded it under the owner's own token."""

    claim: ClaimRecord
    confirmed: bool = False


class ShardTable:
    """Claims by key digest, oldest first; keeps the newest ``MAX_CLAIMS_PER_SHARD``."""

    def __init__(self) -> None:
        self._claims: dict[bytes, RecordedClaim] = {}

    def __len__(self) -> int:
        """Return the number of claimed keys."""
        return len(self._claims)

    def find(self, key_digest: bytes) -> RecordedClaim | None:
        """Return the claim of a key, None if the key is not known to be claimed."""
        return self._claims.get(key_digest)

    def put(self, claim: ClaimRecord) -> RecordedClaim:
        """Set a key's claim and make it the newest, not confirmed yet."""
        self._claims.pop(claim.key_digest, None)
        recorded = self._claims[claim.key_digest] = RecordedClaim(claim)
        if len(self._claims) > MAX_CLAIMS_PER_SHARD:
            del self._claims[next(iter(self._claims))]
        return recorded

    def merge(self, claims: Iterable[ClaimRecord]) -> None:
        """Add claims from several sources; the highest claim of each key is kept.

        Afterwards no claim counts as confirmed.
        """
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
        """Return all claims as encoded records, oldest first."""
        return [encode(recorded.claim) for recorded in self._claims.values()]
