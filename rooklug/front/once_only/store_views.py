"""What a shard owner knows of each claim store under its present token."""

from collections.abc import Iterable, Iterator

import attrs

from rooklug.wire.generated.claims.ttypes import (
    ClaimRecord,
    ReadClaimsAnswer,
    RecordClaimsAnswer,
)


@attrs.define
class StoreView:
    """What is known of one store.

    Attributes:
        answered: Whether the store has answered under the present token.
        intact: Whether the store has last reported itself as intact.
        claims: Claims read from the store that have not been merged into the table yet.
        damage_known_in_round: Check round in which the store was first found not intact.
        checked_in_round: Last check round that the store has answered.
    """

    address: str
    answered: bool = False
    intact: bool = False
    incarnation: str = ""
    claims: list[ClaimRecord] = attrs.field(factory=list)
    damage_known_in_round: int = 0
    checked_in_round: int = 0

    def update(self, answer: ReadClaimsAnswer | RecordClaimsAnswer, round_number: int) -> None:
        """Update the view from an answer to a call that was sent in round ``round_number``."""
        newly_damaged = not answer.intact and (
            self.intact or not self.answered or self.incarnation != answer.incarnation
        )
        if newly_damaged:
            self.damage_known_in_round = round_number
        self.answered = True
        self.intact = answer.intact
        self.incarnation = answer.incarnation


class StoreViews:
    """Views of all stores of the site; ``quorum`` is a majority, ``round`` the check round."""

    def __init__(self, addresses: Iterable[str]) -> None:
        self._views = {address: StoreView(address) for address in addresses}
        self.quorum = len(self._views) // 2 + 1
        self.round = 0

    def __iter__(self) -> Iterator[StoreView]:
        """Iterate over the views, in the order of the addresses."""
        return iter(self._views.values())

    def view(self, address: str) -> StoreView:
        """Return the view of the store at ``address``."""
        return self._views[address]

    def reset(self) -> None:
        """Discard everything known, at the start of a new token."""
        for address in self._views:
            self._views[address] = StoreView(address)
        self.round = 0

    @property
    def intact_count(self) -> int:
        """Number of stores that have reported themselves as intact."""
        return sum(view.intact for view in self)

    @property
    def all_answered(self) -> bool:
        """Whether every store has answered under this token."""
        return all(view.answered for view in self)

    def claims(self) -> list[ClaimRecord]:
        """Return the claims read from all stores, and drop them from the views."""
        claims = [claim for view in self for claim in view.claims]
        for view in self:
            view.claims = []
        return claims

    def restorable(self) -> list[StoreView]:
        """Return the stores that may be restored after the check round that has just ended.

        Every store must have accepted this owner's token in a round that began after the loss
        was known: only then can no successor have relied on the lost copy.
        """
        if any(view.checked_in_round != self.round for view in self):
            return []
        return [
            view for view in self if not view.intact and view.damage_known_in_round < self.round
        ]
