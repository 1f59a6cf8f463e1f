"""What a claim store knows of its shards, and how that is written to its file."""

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
    """One shard. ``claims`` are encoded records by key digest, the oldest first.

    ``intact``: every claim that this store ever confirmed is here.
    """

    fence: tuple[int, int] = NO_FENCE
    intact: bool = False
    claims: dict[bytes, bytes] = attrs.field(factory=dict)

    def apply_claim(self, encoded: bytes) -> None:
        """Keep a claim unless a later one of the same key is here."""
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
        """Take one entry of the shard's file."""
        if entry.fence is not None:
            self.fence = max(self.fence, version_key(entry.fence))
        elif entry.claim is not None:
            self.apply_claim(entry.claim)
        elif entry.intact:
            self.intact = True

    def entries(self, number: int) -> list[bytes]:
        """Return the shortest file that gives this state, for the shard ``number``."""
        epoch, counter = self.fence
        written = [fence_entry(number, VersionMark(epoch=epoch, counter=counter))]
        written.extend(claim_entry(number, claim) for claim in self.claims.values())
        if self.intact:
            written.append(intact_entry(number))
        return [encode(entry) for entry in written]


def load_shard(number: int, records: tuple[bytes, ...]) -> StoredShard | None:
    """Read a shard's file; None when an entry can't be read or is another shard's."""
    shard = StoredShard()
    for record in records:
        entry = decode(StoredEntry, record)
        if entry.is_error() or entry.ok.shard != number or not _is_readable(entry.ok):
            return None
        shard.apply(entry.ok)
    return shard


def fence_entry(shard: int, token: VersionMark) -> StoredEntry:
    """Return the entry that installs a fence."""
    return StoredEntry(shard=shard, fence=token)


def claim_entry(shard: int, encoded: bytes) -> StoredEntry:
    """Return the entry of a claim."""
    return StoredEntry(shard=shard, claim=encoded)


def intact_entry(shard: int) -> StoredEntry:
    """Return the entry after which a shard is complete."""
    return StoredEntry(shard=shard, intact=True)


def _is_readable(entry: StoredEntry) -> bool:
    return entry.claim is None or decode(ClaimRecord, entry.claim).is_ok()
