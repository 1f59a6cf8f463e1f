"""State of a shard in a claim store, and its encoding as entries of the shard's file."""

import attrs

from rooklug.front.once_only.claims import claim_order
from rooklug.front.once_only.limits import MAX_CLAIMS_PER_SHARD
from rooklug.model.versions import version_key
from rooklug.wire.codec import decode, encode
from rooklug.wire.generated.claims.ttypes import ClaimRecord, StoredEntry
from rooklug.wire.generated.control.ttypes import VersionMark

NO_FENCE = (0, 0)


@attrs.define
class StoredShard:
    """State of one shard.

    Attributes:
        fence: Highest fencing token seen, as (epoch, counter).
        intact: Whether every claim that this store has ever confirmed is present.
        claims: Encoded claims by key digest, oldest first; at most ``MAX_CLAIMS_PER_SHARD``.
    """

    fence: tuple[int, int] = NO_FENCE
    intact: bool = False
    claims: dict[bytes, bytes] = attrs.field(factory=dict)

    def apply_claim(self, encoded: bytes) -> None:
        """Store a claim as the newest, or keep a higher claim of the same key in its place."""
        claim = decode(ClaimRecord, encoded).ok
        recorded = self.claims.pop(claim.key_digest, None)
        if recorded is not None and claim_order(decode(ClaimRecord, recorded).ok) > claim_order(
            claim
        ):
            encoded = recorded
        self.claims[claim.key_digest] = encoded
        if len(self.claims) > MAX_CLAIMS_PER_SHARD:
            del self.claims[next(iter(self.claims))]

    def apply(self, entry: StoredEntry) -> None:
        """Apply one entry of the shard's file: a fence, a claim, or the mark of being intact."""
        if entry.fence is not None:
            self.fence = max(self.fence, version_key(entry.fence))
        elif entry.claim is not None:
            self.apply_claim(entry.claim)
        elif entry.intact:
            self.intact = True

    def entries(self, number: int) -> list[bytes]:
        """Return the fewest encoded entries that produce this state, for shard ``number``."""
        epoch, counter = self.fence
        written = [fence_entry(number, VersionMark(epoch=epoch, counter=counter))]
        written.extend(claim_entry(number, claim) for claim in self.claims.values())
        if self.intact:
            written.append(intact_entry(number))
        return [encode(entry) for entry in written]


def load_shard(number: int, records: tuple[bytes, ...]) -> StoredShard | None:
    """Load a shard from its file; None if an entry is unreadable or of another shard."""
    shard = StoredShard()
    for record in records:
        entry = decode(StoredEntry, record)
        if entry.is_error() or entry.ok.shard != number or not _is_readable(entry.ok):
            return None
        shard.apply(entry.ok)
    return shard


def fence_entry(shard: int, token: VersionMark) -> StoredEntry:
    """Return the entry that raises the fence to ``token``."""
    return StoredEntry(shard=shard, fence=token)


def claim_entry(shard: int, encoded: bytes) -> StoredEntry:
    """Return the entry that stores an encoded claim."""
    return StoredEntry(shard=shard, claim=encoded)


def intact_entry(shard: int) -> StoredEntry:
    """Return the entry that marks a shard as intact."""
    return StoredEntry(shard=shard, intact=True)


def _is_readable(entry: StoredEntry) -> bool:
    return entry.claim is None or decode(ClaimRecord, entry.claim).is_ok()
