"""How a core becomes a voting member: it sends join requests until a view includes it.

This applies to a new core, to a core that was replaced while it was down, and, in a cluster of
more cores than the first view has members, to the cores beyond those.
"""

from rooklug.core.constants import JOIN_INTERVAL_S, MESSAGE_DEADLINE_S
from rooklug.core.formation import Formation
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.records import disk_to_wire, member_to_wire
from rooklug.core.types import CoreMember
from rooklug.core.witness import Witness
from rooklug.wire.generated.core import ttypes as wire


class JoinRequester:
    """Sends join requests to all known cores; a backup answers with the primary's address."""

    def __init__(
        self,
        peers: Peers,
        outbox: Outbox,
        witness: Witness,
        formation: Formation,
        *,
        zone: str,
        first_start: bool,
    ) -> None:
        self._peers = peers
        self._outbox = outbox
        self._witness = witness
        self._formation = formation
        self._zone = zone
        self._first_start = first_start
        self._requested_at = 0.0

    def tick(self, now: float, *, has_primary: bool) -> None:
        """Send requests every ``JOIN_INTERVAL_S`` while this core may not be a member."""
        if has_primary or now < self._requested_at + JOIN_INTERVAL_S or not self._is_outside():
            return
        self._requested_at = now
        addresses = {self._peers.address(core_id) for core_id in self._peers.known_others}
        for address in sorted(addresses):
            self._request(address, follow=True)

    def _is_outside(self) -> bool:
        if self._witness.state.voting:
            # No primary has contacted this core: it may have been replaced while it was down.
            return True
        return not self._formation.is_member()

    def _request(self, address: str, *, follow: bool) -> None:
        own = self._witness.state.own
        member = CoreMember(own.core_id, self._peers.address(own.core_id))
        never_member = self._witness.state.view is None
        request = wire.JoinRequest(
            member=member_to_wire(member),
            disk=disk_to_wire(own),
            first_start=self._first_start and never_member,
            core_zone=self._zone if never_member else None,
        )

        def answered(answer: wire.JoinAnswer, now: float) -> None:
            known = {self._peers.address(core_id) for core_id in self._peers.addresses}
            if follow and not answer.noted and answer.primary_address not in {"", *known}:
                self._request(answer.primary_address, follow=False)

        self._outbox.call(address, request, MESSAGE_DEADLINE_S, answered)
