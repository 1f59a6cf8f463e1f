"""The cores, as one of them sees them: who votes, and where everybody is."""

import attrs

from rooklug.core.types import CoreMember, View


@attrs.define
class Peers:
    """Internal addresses by core id; ``own_id`` is this core.

    ``addresses`` are the cores of the settings (the first members), and grow with every view
    that is learned. ``view`` is the newest view this core's witness holds.
    """

    own_id: str
    addresses: dict[str, str]
    founders: frozenset[str] = frozenset()
    view: View | None = None

    def __attrs_post_init__(self) -> None:
        self.founders = self.founders or frozenset(self.addresses)

    def adopt(self, view: View | None) -> None:
        """Follow this core's witness to the view that it holds now."""
        self.view = view
        if view is not None:
            self.learn(view.members)
            self.learn(view.previous)

    def learn(self, members: tuple[CoreMember, ...]) -> None:
        """Remember addresses."""
        for member in members:
            self.addresses[member.core_id] = member.address

    @property
    def members(self) -> frozenset[str]:
        """The ids of the cores that vote in the newest view known."""
        return self.members_of(self.view)

    def members_of(self, view: View | None) -> frozenset[str]:
        """Return the ids of the cores that vote in ``view``."""
        return (view.member_ids if view else frozenset()) or self.founders

    def electorates(self, view: View | None) -> list[frozenset[str]]:
        """Return the sets of cores of which each must agree by a majority."""
        electorates = [self.members_of(view)]
        if view is not None and view.previous:
            electorates.append(view.previous_ids)
        return electorates

    @property
    def others(self) -> list[str]:
        """The ids of the other voting cores, sorted."""
        voting = frozenset().union(*self.electorates(self.view))
        return sorted(voting - {self.own_id})

    @property
    def known_others(self) -> list[str]:
        """The ids of all other cores ever known, sorted."""
        return sorted(core_id for core_id in self.addresses if core_id != self.own_id)

    @property
    def index(self) -> int:
        """This core's index among the voting ones: it decides which epochs it proposes."""
        return sorted(self.members | {self.own_id}).index(self.own_id)

    def address(self, core_id: str) -> str:
        """Return a core's internal address, "" for an unknown id."""
        return self.addresses.get(core_id, "")

    def member_addresses(self) -> tuple[str, ...]:
        """Return the internal addresses of the cores that vote; empty before the first view."""
        members = self.view.members if self.view else ()
        return tuple(member.address for member in members)

    def founding_members(self) -> tuple[CoreMember, ...]:
        """Return the members that the first view has."""
        return tuple(
            CoreMember(core_id, self.addresses[core_id]) for core_id in sorted(self.founders)
        )
