"""Operator-confirmed recovery (runbook "recover"): continues from one replica after a disaster.

A view normally requires the promises of a majority of witnesses and an in-sync disk. If too many
disks are lost for that, no core becomes primary by itself. An operator may then order the core
with the most recent replica to continue. The core first answers with a plan, which states what
may be lost; the operator confirms by sending the same plan back.
"""

from collections.abc import Callable
from enum import Enum

import attrs

from rooklug.core import witness_rules
from rooklug.core.constants import MESSAGE_DEADLINE_S
from rooklug.core.group_reports import GroupReports
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.quorum import majority
from rooklug.core.records import (
    disk_to_wire,
    position_from_wire,
    view_to_wire,
    witness_from_wire,
)
from rooklug.core.store import ReplicaStore
from rooklug.core.types import Position, View, WitnessState
from rooklug.core.witness import Witness
from rooklug.wire.generated.core import ttypes as wire

SendAnswer = Callable[[wire.RecoverAnswer], None]


class RecoveryOutcome(Enum):
    """The outcome of a recover request; the values are sent in the answer."""

    PLAN = "plan"
    RECOVERED = "recovered"
    NOT_NEEDED = "not_needed"
    REFUSED = "refused"


@attrs.frozen
class Refusal:
    """The reason why no recovery is planned; ``message`` is shown to the operator."""

    outcome: RecoveryOutcome
    message: str


@attrs.frozen
class Survivor:
    """The witness state and the end of the log of a core that has answered.

    ``reported_epoch`` is the highest epoch of a primary that a node has reported to it.
    """

    state: WitnessState
    last: Position
    reported_epoch: int

    @property
    def is_blank(self) -> bool:
        """Whether the core's disk holds nothing of any view."""
        return self.state.view is None and not self.last.sequence


@attrs.define(eq=False)
class Survey:
    """The other cores' answers to one recover request.

    ``completed`` counts the calls that have ended, answered or not.
    """

    answer: SendAnswer
    confirmed_plan: str
    survivors: dict[str, Survivor] = attrs.field(factory=dict)
    completed: int = 0


class Recovery:
    """Plans and executes recoveries.

    ``on_recovered(view, sent_at, now)`` is called once another core has adopted the new view.
    """

    def __init__(
        self,
        peers: Peers,
        outbox: Outbox,
        witness: Witness,
        store: ReplicaStore,
        group_reports: GroupReports,
        has_primary: Callable[[float], bool],
        on_recovered: Callable[[View, float, float], None],
    ) -> None:
        self._peers = peers
        self._outbox = outbox
        self._witness = witness
        self._store = store
        self._group_reports = group_reports
        self._has_primary = has_primary
        self._on_recovered = on_recovered

    def on_request(self, call_id: int, request: wire.RecoverRequest, now: float) -> None:
        """Handle a recover request that came as a call."""
        self.begin(request.confirmed_plan, lambda answer: self._outbox.answer(call_id, answer), now)

    def begin(self, confirmed_plan: str, answer: SendAnswer, now: float) -> None:
        """Read the other cores' state, then plan or execute; ``answer`` is called once."""
        survey = Survey(answer, confirmed_plan)
        if self._has_primary(now):
            self._answer(survey, RecoveryOutcome.NOT_NEEDED, "a primary is at work")
            return
        read = wire.ReadWitnessRequest(reader=disk_to_wire(self._witness.state.own))
        for core_id in self._peers.others:
            self._read_witness(survey, core_id, read)

    def _read_witness(self, survey: Survey, core_id: str, read: wire.ReadWitnessRequest) -> None:
        def answered(answer: wire.ReadWitnessAnswer, now: float) -> None:
            state = witness_from_wire(answer.state)
            last = position_from_wire(answer.last)
            survey.survivors[core_id] = Survivor(state, last, answer.reported_epoch or 0)
            completed(now)

        def completed(now: float) -> None:
            survey.completed += 1
            if survey.completed == len(self._peers.others):
                self._decide(survey, now)

        address = self._peers.address(core_id)
        self._outbox.call(address, read, MESSAGE_DEADLINE_S, answered, completed)

    def _decide(self, survey: Survey, now: float) -> None:
        refusal = self._refusal(survey, now)
        if refusal is not None:
            self._answer(survey, refusal.outcome, refusal.message)
            return
        plan = self._plan(survey)
        if survey.confirmed_plan != plan:
            message = "nothing is done yet: send the plan back to confirm it"
            self._answer(survey, RecoveryOutcome.PLAN, message, plan, self._losses(survey))
            return
        self._adopt(survey, plan, now)

    def _refusal(self, survey: Survey, now: float) -> Refusal | None:
        """Return why nothing is to be done, None if a recovery may be planned."""
        own = self._witness.state
        if self._has_primary(now):
            return Refusal(RecoveryOutcome.NOT_NEEDED, "a primary is at work")
        has_data = own.voting or self._store.last.sequence > 0
        if not has_data and not self._are_all_blank(survey):
            return Refusal(RecoveryOutcome.REFUSED, "this core has no data: ask one that has")
        if not survey.survivors:
            return Refusal(
                RecoveryOutcome.REFUSED,
                "no other core answers: start one more, a majority is needed",
            )
        for core_id, survivor in sorted(survey.survivors.items()):
            if survivor.last > self._store.last:
                return Refusal(RecoveryOutcome.REFUSED, f"{core_id} holds more: ask that core")
        if self._can_elect_without_operator(survey):
            return Refusal(
                RecoveryOutcome.NOT_NEEDED,
                "two witnesses and a disk in sync are there: it starts by itself",
            )
        return None

    def _are_all_blank(self, survey: Survey) -> bool:
        """Return whether every other core has answered, and no disk holds anything."""
        is_complete = set(survey.survivors) == set(self._peers.others)
        own = self._witness.state
        is_blank = own.view is None and not self._store.last.sequence
        return is_complete and is_blank and all(s.is_blank for s in survey.survivors.values())

    def _can_elect_without_operator(self, survey: Survey) -> bool:
        states = [self._witness.state, *(s.state for s in survey.survivors.values())]
        voters = [state for state in states if state.voting]
        view = self._newest_view(survey)
        in_sync = [state for state in voters if view is not None and view.has(state.own)]
        return len(voters) >= majority(len(self._peers.members_of(view))) and bool(in_sync)

    def _newest_view(self, survey: Survey) -> View | None:
        states = [self._witness.state, *(s.state for s in survey.survivors.values())]
        views = [state.view for state in states if state.view is not None]
        return max(views, key=lambda view: view.epoch, default=None)

    def _plan(self, survey: Survey) -> str:
        state, last = self._witness.state, self._store.last
        others = [
            f"{core_id} (disk {survivor.state.own.disk_id}, entry {survivor.last.sequence})"
            for core_id, survivor in sorted(survey.survivors.items())
        ]
        missing = sorted(set(self._peers.others) - set(survey.survivors))
        if self._are_all_blank(survey):
            return (
                f"start anew without any data on {state.own.core_id} (disk {state.own.disk_id}); "
                f"with {', '.join(others)}"
            )
        return (
            f"go on from {state.own.core_id} (disk {state.own.disk_id}, epoch {last.epoch}, "
            f"entry {last.sequence}); with {', '.join(others)}; "
            f"without {', '.join(missing) or 'nobody'}"
        )

    def _losses(self, survey: Survey) -> list[str]:
        state, last = self._witness.state, self._store.last
        view = self._newest_view(survey)
        if self._are_all_blank(survey):
            return [
                "everything that was ever acknowledged, configuration and zone orders: all disks "
                "are blank; a front may still hold the configuration"
            ]
        losses = []
        if view is None or not view.has(state.own):
            losses.append(
                f"this copy wasn't in sync: every change acknowledged after entry "
                f"{last.sequence} (configuration {self._newest_version()}) is lost"
            )
        else:
            losses.append(
                f"changes acknowledged in a view newer than epoch {view.epoch}, "
                "if there was one that no remaining disk knows of"
            )
        missing = sorted(set(self._peers.others) - set(survey.survivors))
        return losses + [
            f"whatever only {core_id} holds; empty its data folder afterwards"
            for core_id in missing
        ]

    def _newest_version(self) -> int:
        versions = [
            entry.configuration.version
            for entry in self._store.log.entries
            if entry.configuration is not None
        ]
        return max([self._store.state.version, *versions])

    def _adopt(self, survey: Survey, plan: str, now: float) -> None:
        own = self._witness.state.own
        states = [survivor.state for survivor in survey.survivors.values()]
        highest = max(state.promised_epoch for state in [self._witness.state, *states])
        # Nodes ignore a primary of a lower epoch than the last one that they have heard of.
        reported = [survivor.reported_epoch for survivor in survey.survivors.values()]
        highest = max(highest, self._group_reports.highest_epoch, *reported)
        epoch = witness_rules.next_epoch(highest, self._peers.index)
        newest = self._newest_view(survey)
        members = newest.members if newest else ()
        view = View(epoch, own.core_id, (own,), members)
        disks = tuple(sorted([own, *(state.own for state in states)]))
        adopted = witness_rules.adopt_view(self._witness.state, own, view, disks)
        if adopted is None:
            self._answer(survey, RecoveryOutcome.REFUSED, "the state has changed: ask again")
            return
        request = wire.AdoptViewRequest(
            proposer=disk_to_wire(own),
            view=view_to_wire(view),
            disks=[disk_to_wire(disk) for disk in disks],
        )
        self._outbox.log("warning", "operator-confirmed recovery started", plan=plan, epoch=epoch)
        self._witness.save(
            adopted, now, lambda now: self._request_adoption(survey, plan, request, view, now)
        )

    def _request_adoption(
        self, survey: Survey, plan: str, request: wire.AdoptViewRequest, view: View, sent_at: float
    ) -> None:
        done = False
        self._witness.record_heartbeat(self._witness.state.own, view.epoch, sent_at)

        def answered(answer: wire.AdoptViewAnswer, now: float) -> None:
            nonlocal done
            if not answer.adopted or done or self._witness.state.view != view:
                return
            done = True
            losses = self._losses(survey)
            self._answer(survey, RecoveryOutcome.RECOVERED, "this core leads", plan, losses)
            self._on_recovered(view, sent_at, now)

        for core_id in sorted(survey.survivors):
            address = self._peers.address(core_id)
            self._outbox.call(address, request, MESSAGE_DEADLINE_S, answered)

    def _answer(
        self,
        survey: Survey,
        outcome: RecoveryOutcome,
        message: str,
        plan: str = "",
        losses: list[str] | None = None,
    ) -> None:
        answer = wire.RecoverAnswer(
            outcome=outcome.value, plan=plan, may_be_lost=losses or [], message=message
        )
        survey.answer(answer)
