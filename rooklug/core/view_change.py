"""View changes: two-phase proposals (prepare, accept) to the witnesses, as in Paxos.

The proposer is a core that wants to lead, or that wants to change the view that it leads. The
epoch of a proposal corresponds to the ballot number of Paxos: a witness that has promised an
epoch rejects all lower ones.
"""

from collections.abc import Callable
from enum import Enum

import attrs

from rooklug.core.constants import (
    MESSAGE_DEADLINE_S,
    PROMISE_GRACE_S,
    PROPOSAL_DEADLINE_S,
)
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.quorum import has_quorum
from rooklug.core.records import disk_to_wire, promise_from_wire, view_to_wire
from rooklug.core.types import Position, Promise, View
from rooklug.core.witness import Witness
from rooklug.core.witness_rules import MemberChange, choose_view, newest_view, next_epoch
from rooklug.wire.generated.core import ttypes as wire


class Phase(Enum):
    """The phase of a proposal."""

    PREPARE = "prepare"
    ACCEPT = "accept"


@attrs.define(eq=False)
class Proposal:
    """One attempt to get a view chosen.

    Attributes
    ----------
    excluded
        Cores that the new view excludes; their promises are not waited for.
    grace_s
        How long to wait for the other cores' promises after the first one.
    started_at
        Monotonic time of the start, in seconds.
    change
        The change of the voting members that the view makes, if any.
    chosen_view
        The newest view known, if a majority is known to have accepted it.
    own, promises
        The promise of this core's own witness, and those of others by core id.
    requested, answered
        The cores that a promise was requested from, and those whose call has ended.
    electorates
        The sets of members in each of which a majority must accept.
    first_promise_at
        When the first promise arrived; ``grace_s`` counts from there.
    accepted
        The cores that have accepted the view.
    """

    epoch: int
    excluded: frozenset[str]
    grace_s: float
    started_at: float
    change: MemberChange | None = None
    chosen_view: View | None = None
    phase: Phase = Phase.PREPARE
    own: Promise | None = None
    own_promise_requested: bool = False
    promises: dict[str, Promise] = attrs.field(factory=dict)
    requested: set[str] = attrs.field(factory=set)
    answered: set[str] = attrs.field(factory=set)
    electorates: list[frozenset[str]] = attrs.field(factory=list)
    first_promise_at: float = 0.0
    view: View | None = None
    accept_sent_at: float = 0.0
    accepted: set[str] = attrs.field(factory=set)


class ViewChanger:
    """The proposer of view changes; at most one proposal is in progress.

    ``on_chosen(view, accepts_sent_at, now)`` is called after a success, ``on_failed(reason, now)``
    after a failure. ``highest_epoch`` is the highest epoch known to be promised anywhere, and
    ``blank_others`` the cores whose witness last answered that it may not vote.
    """

    def __init__(
        self,
        peers: Peers,
        outbox: Outbox,
        witness: Witness,
        last: Callable[[], Position],
        on_chosen: Callable[[View, float, float], None],
        on_failed: Callable[[str, float], None],
    ) -> None:
        self._peers = peers
        self._outbox = outbox
        self._witness = witness
        self._last = last
        self._on_chosen = on_chosen
        self._on_failed = on_failed
        self.proposal: Proposal | None = None
        self.highest_epoch = 0
        self.blank_others: set[str] = set()

    def record_epoch(self, epoch: int) -> None:
        """Record an epoch that some witness has promised: the next proposal needs a higher one."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    def begin(
        self,
        excluded: frozenset[str],
        now: float,
        grace_s: float = PROMISE_GRACE_S,
        change: MemberChange | None = None,
        chosen_view: View | None = None,
    ) -> None:
        """Start a proposal: send prepare requests to the other witnesses.

        This core's own witness promises only after the first other one has.
        """
        after = max(self.highest_epoch, self._witness.state.promised_epoch)
        epoch = next_epoch(after, self._peers.index)
        self.record_epoch(epoch)
        current = Proposal(epoch, excluded, grace_s, now, change, chosen_view)
        self.proposal = current
        for core_id in self._peers.others:
            self._prepare(current, core_id)
        if change is not None and change.joiner is not None:
            self._peers.learn((change.joiner,))
            self._prepare(current, change.joiner.core_id, joining=True)
        if not current.requested:
            self._request_own_promise(current, now)

    def abandon(self) -> None:
        """Abandon the proposal; answers to it that arrive later are ignored."""
        self.proposal = None

    def tick(self, now: float) -> None:
        """Propose without the cores that don't answer, or fail after ``PROPOSAL_DEADLINE_S``."""
        current = self.proposal
        if current is None:
            return
        if now >= current.started_at + PROPOSAL_DEADLINE_S:
            self._fail(current, "no majority in time", now)
        else:
            self._propose_if_ready(current, now)

    def _prepare(self, current: Proposal, core_id: str, *, joining: bool = False) -> None:
        current.requested.add(core_id)
        request = wire.PrepareRequest(
            proposer=disk_to_wire(self._witness.state.own),
            epoch=current.epoch,
            joining=joining or None,
        )
        self._outbox.call(
            self._peers.address(core_id),
            request,
            MESSAGE_DEADLINE_S,
            lambda answer, now: self._on_promise(current, core_id, answer, now),
            lambda now: self._on_prepare_timeout(current, core_id, now),
        )

    def _on_promise(
        self, current: Proposal, core_id: str, answer: wire.PrepareAnswer, now: float
    ) -> None:
        self.record_epoch(answer.promised_epoch)
        if answer.voting:
            self.blank_others.discard(core_id)
        else:
            self.blank_others.add(core_id)
        if self.proposal is not current:
            return
        current.answered.add(core_id)
        if answer.granted:
            promise = promise_from_wire(answer)
            current.promises[core_id] = promise
            self._prepare_newer_members(current, promise.view)
            self._request_own_promise(current, now)
        self._on_progress(current, now)

    def _prepare_newer_members(self, current: Proposal, view: View | None) -> None:
        """Send prepare requests to members that only the view in a promise has."""
        if view is None:
            return
        self._peers.learn(view.members)
        self._peers.learn(view.previous)
        for electorate in self._peers.electorates(view):
            for core_id in sorted(electorate - current.requested - {self._peers.own_id}):
                self._prepare(current, core_id)

    def _on_prepare_timeout(self, current: Proposal, core_id: str, now: float) -> None:
        if self.proposal is current:
            current.answered.add(core_id)
            self._on_progress(current, now)

    def _request_own_promise(self, current: Proposal, now: float) -> None:
        if not current.own_promise_requested:
            current.own_promise_requested = True
            current.first_promise_at = now
            self._witness.promise_to_self(
                current.epoch,
                now,
                lambda now: self._on_own_promise(current, now),
                lambda now: self._on_own_refusal(current, now),
            )

    def _on_own_refusal(self, current: Proposal, now: float) -> None:
        self._fail(current, "its own witness refused", now)

    def _on_own_promise(self, current: Proposal, now: float) -> None:
        if self.proposal is not current:
            return
        if self._witness.state.promised_epoch != current.epoch:
            self._on_own_refusal(current, now)
            return
        state = self._witness.state
        current.own = Promise(state.own, state.view, self._last())
        self._on_progress(current, now)

    def _on_progress(self, current: Proposal, now: float) -> None:
        all_answered = current.answered >= current.requested
        if all_answered and current.requested and not current.promises:
            self._fail(current, "no other witness promised", now)
        else:
            self._propose_if_ready(current, now)

    def _propose_if_ready(self, current: Proposal, now: float) -> None:
        if current.phase is not Phase.PREPARE or current.own is None:
            return
        latest = newest_view(current.own, current.promises.values())
        votes = {self._peers.own_id, *current.promises}
        if not has_quorum(votes, self._peers.electorates(latest)):
            return
        all_answered = current.answered | current.excluded >= current.requested
        if all_answered or now >= current.first_promise_at + current.grace_s:
            self._propose(current, current.own, now)

    def _propose(self, current: Proposal, own: Promise, now: float) -> None:
        others = [current.promises[core_id] for core_id in sorted(current.promises)]
        view = choose_view(
            current.epoch,
            own,
            others,
            current.excluded,
            current.change,
            current.chosen_view,
            self._witness.state.founders,
        )
        if view is None:
            self._fail(current, "this disk isn't in sync in the newest view", now)
            return
        latest = newest_view(own, others)
        current.electorates = [*self._peers.electorates(latest), *self._peers.electorates(view)]
        current.phase = Phase.ACCEPT
        current.view = view
        current.accept_sent_at = now
        voters = [own.voter, *(promise.voter for promise in others)]
        request = wire.AcceptRequest(
            proposer=disk_to_wire(own.voter),
            view=view_to_wire(view),
            promises=[disk_to_wire(voter) for voter in voters],
        )
        self._witness.accept_from_self(
            view, voters, now, lambda now: self._on_accepted(current, view, self._peers.own_id, now)
        )
        for core_id in sorted(current.promises):
            self._send_accept(current, view, core_id, request)

    def _send_accept(
        self, current: Proposal, view: View, core_id: str, request: wire.AcceptRequest
    ) -> None:
        def on_answer(answer: wire.AcceptAnswer, now: float) -> None:
            self.record_epoch(answer.promised_epoch)
            if answer.accepted:
                self._on_accepted(current, view, core_id, now)

        self._outbox.call(self._peers.address(core_id), request, MESSAGE_DEADLINE_S, on_answer)

    def _on_accepted(self, current: Proposal, view: View, core_id: str, now: float) -> None:
        if self.proposal is not current:
            return
        current.accepted.add(core_id)
        own = self._peers.own_id in current.accepted
        if own and has_quorum(current.accepted, current.electorates):
            self.proposal = None
            self._on_chosen(view, current.accept_sent_at, now)

    def _fail(self, current: Proposal, reason: str, now: float) -> None:
        if self.proposal is current:
            self.proposal = None
            self._on_failed(reason, now)
