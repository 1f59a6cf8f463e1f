"""How a core without a vote obtains one: at the first start, or after it has lost its disk."""

from collections.abc import Callable

from rooklug.core import witness_rules
from rooklug.core.constants import FIRST_EPOCH, MESSAGE_DEADLINE_S, READ_WITNESS_S
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.records import disk_to_wire, view_to_wire, witness_from_wire
from rooklug.core.types import MemberDisk, View, WitnessState
from rooklug.core.witness import Witness
from rooklug.wire.generated.core import ttypes as wire

WAITING = "waiting for the other cores"
FIRST_START = "all three disks are blank: forming the first view"
NO_FIRST_START = "no core that answers has data, and this is no first start: nothing is formed"
JOINING = "asks the primary to make it a member"
DATA_LOSS_SUSPECTED = (
    "two disks are blank beside one with data: this is no first start; "
    "nothing starts by itself, run the runbook recover"
)


class Formation:
    """Reads the other cores' witnesses until this core's witness may vote.

    ``waits_for`` is the reason why it may not vote yet, as shown in the status.
    ``on_formed(view, sent_at, now)`` is called when all cores have accepted the first view.
    """

    def __init__(
        self,
        peers: Peers,
        outbox: Outbox,
        witness: Witness,
        on_formed: Callable[[View, float, float], None],
        *,
        first_start: bool,
    ) -> None:
        self._first_start = first_start
        self._peers = peers
        self._outbox = outbox
        self._witness = witness
        self._on_formed = on_formed
        self._read_at = 0.0
        self._attempt = 0
        self._states: dict[str, WitnessState] = {}
        self._forming: View | None = None
        self._formed: set[str] = set()
        self.waits_for = WAITING

    def tick(self, now: float) -> None:
        """Read the other witnesses every ``READ_WITNESS_S`` while this one may not vote."""
        if self._witness.state.voting or now < self._read_at:
            return
        self._read_at = now + READ_WITNESS_S
        self._attempt += 1
        self._states = {}
        own = self._witness.state.own
        attempt = self._attempt
        self._witness.save(self._witness.state, now, lambda now: self._read(own, attempt))

    def _read(self, own: MemberDisk, attempt: int) -> None:
        request = wire.ReadWitnessRequest(reader=disk_to_wire(own))
        for core_id in self._peers.known_others:
            self._send_read(core_id, request, attempt)
        if not self._peers.known_others:
            self._form([], self._read_at)

    def _send_read(self, core_id: str, request: wire.ReadWitnessRequest, attempt: int) -> None:
        def answered(answer: wire.ReadWitnessAnswer, now: float) -> None:
            if attempt == self._attempt and not self._witness.state.voting:
                self._take(core_id, answer, now)

        self._outbox.call(self._peers.address(core_id), request, MESSAGE_DEADLINE_S, answered)

    def _take(self, core_id: str, answer: wire.ReadWitnessAnswer, now: float) -> None:
        if not answer.registered:
            self.waits_for = "this disk was replaced by a newer one: empty its data folder"
            return
        state = witness_from_wire(answer.state)
        self._states[core_id] = state
        if state.view is not None:
            self._peers.learn(state.view.members)
            self._peers.learn(state.view.previous)
        self._decide(now)

    def is_member(self) -> bool:
        """Return whether the newest view read so far has this core as a voting member."""
        return self._peers.own_id in self._peers.members_of(self._newest_view())

    def _newest_view(self) -> View | None:
        views = [state.view for state in self._states.values() if state.view is not None]
        return max(views, key=lambda view: view.epoch, default=None)

    def _decide(self, now: float) -> None:
        newest = self._newest_view()
        if newest is not None and not self.is_member():
            self.waits_for = JOINING
            return
        members = self._peers.members_of(newest)
        states = [self._states[core_id] for core_id in sorted(self._states) if core_id in members]
        recovered = witness_rules.recover(self._witness.state, states, len(members))
        if recovered is not None:
            self._outbox.log("info", "witness may vote again", disk=recovered.own.disk_id)
            self._witness.last_heartbeat_at = now
            self._witness.save(recovered, now, lambda now: None)
            return
        if len(states) < len(members) - 1:
            return
        if not any(state.voting for state in states):
            self._form(states, now)
            return
        self._join_first_view(states, now)

    def _join_first_view(self, states: list[WitnessState], now: float) -> None:
        """Accept the first view, which another core has accepted, if this core is in it."""
        views = [state.view for state in states if state.voting and state.view is not None]
        formed = witness_rules.form(self._witness.state, views[0]) if views else None
        if formed is None:
            self.waits_for = DATA_LOSS_SUSPECTED
            return
        self._witness.save(formed, now, lambda now: None)

    def _form(self, states: list[WitnessState], now: float) -> None:
        if not self._first_start:
            self.waits_for = NO_FIRST_START
            return
        self.waits_for = FIRST_START
        if self._peers.own_id != min(self._peers.founders):
            return
        own = self._witness.state.own
        disks = tuple(sorted([own, *(state.own for state in states)]))
        members = self._peers.founding_members()
        view = View(FIRST_EPOCH, own.core_id, disks, members)
        self._forming = view
        self._formed = set()
        request = wire.FormViewRequest(proposer=disk_to_wire(own), view=view_to_wire(view))
        for core_id in self._peers.others:
            self._send_form(core_id, request, view, now)
        self._finish(view, now, now)

    def _send_form(
        self, core_id: str, request: wire.FormViewRequest, view: View, sent_at: float
    ) -> None:
        def answered(answer: wire.FormViewAnswer, now: float) -> None:
            if answer.accepted and self._forming == view:
                self._formed.add(core_id)
                self._finish(view, sent_at, now)

        self._outbox.call(self._peers.address(core_id), request, MESSAGE_DEADLINE_S, answered)

    def _finish(self, view: View, sent_at: float, now: float) -> None:
        if len(self._formed) < len(self._peers.others) or self._witness.state.voting:
            return
        formed = witness_rules.form(self._witness.state, view)
        if formed is None:
            return
        self._forming = None
        self._witness.record_heartbeat(self._witness.state.own, view.epoch, now)
        self._witness.save(formed, now, lambda now: self._on_formed(view, sent_at, now))
