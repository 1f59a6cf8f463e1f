"""What an owner knows of the claim stores, for one shard under one token."""

from collections.abc import Iterable, Iterator

import attrs

from rooklug.wire.generated.claims.ttypes import (
    ClaimRecord,
    ReadClaimsAnswer,
    RecordClaimsAnswer,
)


@attrs.define
class StoreView:
    """One store. ``damage_known_in_round``: the check round that first saw it not intact."""

    address: str
    answered: bool = False
    intact: bool = False
    incarnation: str = ""
    claims: list[ClaimRecord] = attrs.field(factory=list)
    damage_known_in_round: int = 0
    checked_in_round: int = 0

    def update(self, answer: ReadClaimsAnswer | RecordClaimsAnswer, round_number: int) -> None:
        """Note what the store says of itself."""
        newly_damaged = not answer.intact and (
            self.intact or not self.answered or self.incarnation != answer.incarnation
        )
        if newly_damaged:
            self.damage_known_in_round = round_number
        self.answered = True
        self.intact = answer.intact
        self.incarnation = answer.incarnation


class StoreViews:
    """All stores of the cluster; a majority of them makes a quorum."""

    def __init__(self, addresses: Iterable[str]) -> None:
        self._views = {address: StoreView(address) for address in addresses}
        self.quorum = len(self._views) // 2 + 1
        self.round = 0

    def __iter__(self) -> Iterator[StoreView]:
        """Iterate over the stores."""
        return iter(self._views.values())

    def view(self, address: str) -> StoreView:
        """Return one store."""
        return self._views[address]

    def reset(self) -> None:
        """Forget everything: a new token begins."""
        for address in self._views:
            self._views[address] = StoreView(address)
        self.round = 0

    @property
    def intact_count(self) -> int:
        """How many stores vouch for what they hold."""
        return sum(view.intact for view in self)

    @property
    def all_answered(self) -> bool:
        """Whether every store has answered under this token."""
        return all(view.answered for view in self)

    def claims(self) -> list[ClaimRecord]:
        """Return what the stores hold, and free it here."""
        claims = [claim for view in self for claim in view.claims]
        for view in self:
            view.claims = []
        return claims

    def restorable(self) -> list[StoreView]:
        """Return the stores that may be restored after the check round that has just ended.

        All others must have accepted this owner's token in a round that began after the
        loss was known: only then no successor can have used the lost copy.
        """
        if any(view.checked_in_round != self.round for view in self):
            return []
        return [
            view for view in self if not view.intact and view.damage_known_in_round < self.round
        ]
