"""How a core without a vote obtains one: at the first start, or after it has lost its disk.

The founders form the first view by an ordinary view change, in which those vote that have recorded
on their disk that they are founders. A core whose deployment knows that its disk has never voted
records it at its start (``ControlStateComponent``). Any other blank disk may have voted and been
lost; this module reads the other witnesses to find out what it may do.
"""

from rooklug.core import witness_rules
from rooklug.core.constants import MESSAGE_DEADLINE_S, READ_WITNESS_INTERVAL_S
from rooklug.core.group_reports import GroupPast, GroupReports, combined, past_of
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.records import disk_to_wire, witness_from_wire
from rooklug.core.types import CoreMember, MemberDisk, View, WitnessState
from rooklug.core.witness import Witness
from rooklug.wire.generated.core import ttypes as wire

WAITING = "waiting for the other cores"
FORMING = "forming the first view: a majority of the founders is needed"
JOINING = "asks the primary to make it a member"
NO_FIRST_START = (
    "the disks of all cores are blank, and this is no first start: the data is missing, and "
    "nothing is formed; start a core that has its disk and run the runbook recover-cores, or, if "
    "all disks are lost, start all cores with empty folders as a first start"
)
ALL_DISKS_LOST = (
    "the disks of all cores are blank, but a node has heard of a primary or holds a configuration: "
    "the data is missing, and nothing is formed; run the runbook recover-cores"
)
LISTENING = "all disks are blank: listening whether a node has heard of a primary"
DATA_LOSS_SUSPECTED = (
    "two disks are blank beside one with data: this is no first start; "
    "nothing starts by itself, run the runbook recover-cores"
)


class Formation:
    """Reads the other cores' witnesses until this core's witness may vote.

    ``waiting_reason`` is the reason why it may not vote yet, as shown in the status. With
    ``first_start`` the founders may form the first view if the disks of all of them are blank.
    """

    def __init__(
        self,
        peers: Peers,
        outbox: Outbox,
        witness: Witness,
        group_reports: GroupReports,
        *,
        first_start: bool,
    ) -> None:
        self._first_start = first_start
        self._group_reports = group_reports
        self._peers = peers
        self._outbox = outbox
        self._witness = witness
        self._read_at = 0.0
        self._attempt = 0
        self._states: dict[str, WitnessState] = {}
        self._pasts: dict[str, GroupPast] = {}
        self.waiting_reason = WAITING

    def tick(self, now: float) -> None:
        """While this witness may not vote, read the others every ``READ_WITNESS_INTERVAL_S``."""
        if self._witness.state.voting or now < self._read_at:
            return
        self._report_unanswered()
        self._read_at = now + READ_WITNESS_INTERVAL_S
        self._attempt += 1
        self._states = {}
        self._pasts = {}
        own = self._witness.state.own
        attempt = self._attempt
        self._witness.save(self._witness.state, now, lambda now: self._read(own, attempt, now))

    def is_member(self) -> bool:
        """Return whether the newest view read so far has this core as a voting member."""
        return self._peers.own_id in self._peers.members_of(self._newest_view())

    def _read(self, own: MemberDisk, attempt: int, now: float) -> None:
        request = wire.ReadWitnessRequest(reader=disk_to_wire(own))
        for core_id in self._peers.known_others:
            self._send_read(core_id, request, attempt)
        if not self._peers.known_others:
            self._decide(now)

    def _send_read(self, core_id: str, request: wire.ReadWitnessRequest, attempt: int) -> None:
        def answered(answer: wire.ReadWitnessAnswer, now: float) -> None:
            if attempt == self._attempt and not self._witness.state.voting:
                self._record_state(core_id, answer, now)

        self._outbox.call(self._peers.address(core_id), request, MESSAGE_DEADLINE_S, answered)

    def _record_state(self, core_id: str, answer: wire.ReadWitnessAnswer, now: float) -> None:
        if not answer.registered:
            self._wait("this disk was replaced by a newer one: empty its data folder")
            return
        state = witness_from_wire(answer.state)
        self._states[core_id] = state
        self._pasts[core_id] = past_of(answer.reported_epoch)
        if state.view is not None:
            self._peers.learn(state.view.members)
            self._peers.learn(state.view.previous)
        self._decide(now)

    def _newest_view(self) -> View | None:
        views = [state.view for state in self._states.values() if state.view is not None]
        return max(views, key=lambda view: view.epoch, default=None)

    def _decide(self, now: float) -> None:
        newest = self._newest_view()
        founders = self._founders()
        members = newest.member_ids if newest else frozenset(m.core_id for m in founders)
        members = members or self._peers.founders
        if self._peers.own_id not in members:
            self._wait(JOINING)
            return
        states = [self._states[core_id] for core_id in sorted(self._states) if core_id in members]
        recovered = witness_rules.recover_vote(self._witness.state, states, len(members))
        if recovered is not None:
            self._obtain_vote(recovered, now)
        elif len(states) >= len(members) - 1:
            self._decide_without_quorum(newest, founders, states, now)

    def _decide_without_quorum(
        self,
        newest: View | None,
        founders: tuple[CoreMember, ...],
        states: list[WitnessState],
        now: float,
    ) -> None:
        """Decide when all other members have answered, and too few of them may vote."""
        past = combined([self._group_reports.past(now), *self._pasts.values()])
        if newest is not None:
            self._wait(DATA_LOSS_SUSPECTED)
        elif past is GroupPast.HAD_PRIMARY:
            self._wait(ALL_DISKS_LOST)
        elif not self._is_first_start(states, now):
            self._wait(NO_FIRST_START)
        elif past is GroupPast.LISTENING:
            self._wait(LISTENING)
        else:
            founder = witness_rules.become_founder(self._witness.state, founders, states)
            if founder is not None:
                self._obtain_vote(founder, now)

    def _is_first_start(self, states: list[WitnessState], now: float) -> bool:
        """Return whether the settings, a founder's disk or a node say that nothing is stored yet.

        If all founders were killed before their first write, only nodes can know it.
        """
        is_interrupted = any(state.voting for state in states)
        return self._first_start or is_interrupted or self._group_reports.is_starting(now)

    def _founders(self) -> tuple[CoreMember, ...]:
        """Return the founders that a witness has recorded, else those of the settings.

        The settings of a later start may name other cores than those of the first start.
        """
        recorded = (state.founders for state in self._states.values() if state.founders)
        return next(recorded, self._peers.founding_members())

    def _obtain_vote(self, state: WitnessState, now: float) -> None:
        self._outbox.log("info", "witness may vote", disk=state.own.disk_id)
        self._witness.save(state, now, lambda now: None)
        self._witness.guard_earlier_lease(now)

    def _report_unanswered(self) -> None:
        """State which cores did not answer the previous read, if that prevents a decision."""
        missing = sorted(set(self._peers.known_others) - set(self._states))
        if self._attempt and missing and self.waiting_reason not in (JOINING, NO_FIRST_START):
            self._wait(f"{WAITING}: no answer from {', '.join(missing)}")

    def _wait(self, reason: str) -> None:
        if reason != self.waiting_reason:
            self.waiting_reason = reason
            self._outbox.log("warning", "witness may not vote", reason=reason)
