"""One core's knowledge of the group: which cores vote, and the address of each known core."""

import attrs

from rooklug.core.types import CoreMember, View


@attrs.define
class Peers:
    """The known cores, seen from the core ``own_id``.

    Attributes
    ----------
    addresses
        Internal addresses by core id: at first those of the settings, extended by each view
        that this core learns of.
    founders
        The members of the first view: the cores of the settings, until this core's witness has
        recorded those that it forms the view with.
    view
        The newest view that this core's witness has accepted or learned.
    """

    own_id: str
    addresses: dict[str, str]
    founders: frozenset[str] = frozenset()
    view: View | None = None

    def __attrs_post_init__(self) -> None:
        self.founders = self.founders or frozenset(self.addresses)

    def adopt(self, view: View | None) -> None:
        """Set the view that this core's witness now has."""
        self.view = view
        if view is not None:
            self.learn(view.members)
            self.learn(view.previous)

    def adopt_founders(self, founders: tuple[CoreMember, ...]) -> None:
        """Set the members of the first view, if the witness has recorded them."""
        if founders:
            self.learn(founders)
            self.founders = frozenset(member.core_id for member in founders)

    def learn(self, members: tuple[CoreMember, ...]) -> None:
        """Add the members' addresses."""
        for member in members:
            self.addresses[member.core_id] = member.address

    @property
    def members(self) -> frozenset[str]:
        """The ids of the cores that vote in ``view``."""
        return self.members_of(self.view)

    def members_of(self, view: View | None) -> frozenset[str]:
        """Return the ids of the cores that vote in a view; the founders before the first one."""
        return (view.member_ids if view else frozenset()) or self.founders

    def electorates(self, view: View | None) -> list[frozenset[str]]:
        """Return the sets of cores in each of which a majority must agree."""
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
        """The ids of all other known cores, members or not, sorted."""
        return sorted(core_id for core_id in self.addresses if core_id != self.own_id)

    @property
    def index(self) -> int:
        """This core's index among the voting members; it determines which epochs it proposes."""
        return sorted(self.members | {self.own_id}).index(self.own_id)

    def address(self, core_id: str) -> str:
        """Return a core's internal address, "" for an unknown id."""
        return self.addresses.get(core_id, "")

    def member_addresses(self) -> tuple[str, ...]:
        """Return the internal addresses of the voting cores, empty before the first view."""
        members = self.view.members if self.view else ()
        return tuple(member.address for member in members)

    def founding_members(self) -> tuple[CoreMember, ...]:
        """Return the members of the first view, sorted."""
        return tuple(
            CoreMember(core_id, self.addresses[core_id]) for core_id in sorted(self.founders)
        )
