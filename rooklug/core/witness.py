"""The witness of one core: the durable acceptor of the view-change protocol.

It also guards the primary's lease: for ``LEASE_GUARD_S`` after a heartbeat it makes no promise to
any other core, so that no successor is chosen before the lease has expired.
"""

from collections.abc import Callable

import attrs

from rooklug.core import witness_rules
from rooklug.core.constants import LEASE_GUARD_S, WITNESS_FILE, WITNESS_REWRITE_RECORDS
from rooklug.core.disk import Continuation, Disk
from rooklug.core.group_reports import GroupReports
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.records import (
    disk_from_wire,
    disk_to_wire,
    position_to_wire,
    view_from_wire,
    view_to_wire,
    witness_to_wire,
)
from rooklug.core.types import MemberDisk, Position, View, WitnessState
from rooklug.wire.codec import encode
from rooklug.wire.generated.core import ttypes as wire

NEVER = float("-inf")
"""The monotonic time of an event that has not happened."""


class Witness:
    """Handles the requests of proposers; sends each answer only after its state is synced.

    ``supported_primary`` and ``supported_epoch`` are the disk and the epoch of the primary whose
    heartbeats it answers; the last one arrived at ``last_heartbeat_at`` (monotonic seconds).
    """

    def __init__(
        self,
        outbox: Outbox,
        disk: Disk,
        last: Callable[[], Position],
        peers: Peers,
        group_reports: GroupReports,
    ) -> None:
        self._outbox = outbox
        self._disk = disk
        self._last = last
        self._peers = peers
        self._group_reports = group_reports
        self._file_records = 0
        self.state = WitnessState(MemberDisk("", ""))
        self.supported_primary: MemberDisk | None = None
        self.supported_epoch = 0
        self.last_heartbeat_at = NEVER

    def load(self, state: WitnessState, now: float) -> None:
        """Start from a stored state; guard a lease that it may have guarded before the restart."""
        self.state = state
        self._peers.adopt(state.view)
        self._peers.adopt_founders(state.founders)
        self.supported_primary = _primary_disk(state.view)
        self.supported_epoch = state.accepted_epoch
        self.guard_earlier_lease(now)

    def guard_earlier_lease(self, now: float) -> None:
        """Guard the lease that this witness may have confirmed before it was started.

        A founder that knows no view can't have confirmed any.
        """
        knows_no_lease = self.state.voting and self.state.view is None
        self.last_heartbeat_at = NEVER if knows_no_lease else now

    def start_new_incarnation(self, state: WitnessState, now: float) -> None:
        """Start with the state of a new incarnation of the disk, and rewrite the file."""
        self.load(state, now)
        self._file_records = 1
        self._disk.rewrite(WITNESS_FILE, [encode(witness_to_wire(state))], now)

    def save(self, state: WitnessState, now: float, then: Continuation) -> None:
        """Store a new state; run ``then`` once it, and all writes before it, are synced."""
        if state != self.state:
            self.state = state
            self._peers.adopt(state.view)
            self._peers.adopt_founders(state.founders)
            self._write(encode(witness_to_wire(state)), now)
        self._disk.after_sync(now, then)

    def record_heartbeat(self, supported_primary: MemberDisk, epoch: int, now: float) -> None:
        """Record a heartbeat of the primary of ``epoch``, which restarts the guard of its lease."""
        self.supported_primary = supported_primary
        self.supported_epoch = epoch
        self.last_heartbeat_at = now

    def blocks_promise_to(self, proposer: MemberDisk, now: float) -> bool:
        """Return whether a promise to ``proposer`` could violate another primary's lease."""
        return proposer != self.supported_primary and now < self.last_heartbeat_at + LEASE_GUARD_S

    def promise_to_self(
        self, epoch: int, now: float, on_granted: Continuation, on_refused: Continuation
    ) -> None:
        """Promise to this core's own proposal, under the same rules as to another proposer."""
        state = witness_rules.promise(self.state, epoch, self.state.own)
        if state is None or self.blocks_promise_to(self.state.own, now):
            on_refused(now)
        else:
            self.save(state, now, on_granted)

    def accept_from_self(
        self, view: View, promises: list[MemberDisk], now: float, then: Continuation
    ) -> None:
        """Accept this core's own proposal; ``then`` doesn't run if the rules refuse it."""
        state = witness_rules.accept(self.state, self.state.own, view, promises)
        if state is not None:
            self.record_heartbeat(self.state.own, view.epoch, now)
            self.save(state, now, then)

    def on_prepare(self, call_id: int, request: wire.PrepareRequest, now: float) -> None:
        """Handle a proposer's request for a promise."""
        proposer = disk_from_wire(request.proposer)
        rule = witness_rules.promise_to_join if request.joining else witness_rules.promise
        state = rule(self.state, request.epoch, proposer)
        if state is None or self.blocks_promise_to(proposer, now):
            self._outbox.answer(call_id, self._prepare_answer(granted=False))
            return
        self.save(state, now, lambda now: self._answer_prepare(call_id, request.epoch))

    def on_accept(self, call_id: int, request: wire.AcceptRequest, now: float) -> None:
        """Handle a proposer's request to accept a view."""
        proposer = disk_from_wire(request.proposer)
        promises = [disk_from_wire(disk) for disk in request.promises]
        view = view_from_wire(request.view)
        state = witness_rules.accept(self.state, proposer, view, promises)
        if state is None:
            self._outbox.answer(call_id, self._accept_answer(accepted=False))
            return
        self.record_heartbeat(proposer, view.epoch, now)
        self.save(
            state, now, lambda now: self._outbox.answer(call_id, self._accept_answer(accepted=True))
        )

    def on_read(self, call_id: int, request: wire.ReadWitnessRequest, now: float) -> None:
        """Handle a read by a core that lost its disk; register its new disk before the answer."""
        state = witness_rules.register_disk(self.state, disk_from_wire(request.reader))
        if state is None:
            self._outbox.answer(call_id, self._read_answer(now, registered=False))
            return
        self._release_if_replaced(disk_from_wire(request.reader), now)
        self.save(state, now, lambda now: self._answer_read(call_id, now))

    def _release_if_replaced(self, reader: MemberDisk, now: float) -> None:
        """End the lease guard if the supported primary has a new disk: its lease is lost too."""
        supported_primary = self.supported_primary
        if (
            supported_primary is not None
            and supported_primary.core_id == reader.core_id
            and supported_primary != reader
        ):
            self.last_heartbeat_at = min(self.last_heartbeat_at, now - LEASE_GUARD_S)

    def on_adopt(self, call_id: int, request: wire.AdoptViewRequest, now: float) -> None:
        """Handle the request to adopt the view of an operator-confirmed recovery."""
        proposer = disk_from_wire(request.proposer)
        disks = [disk_from_wire(disk) for disk in request.disks]
        view = view_from_wire(request.view)
        state = witness_rules.adopt_view(self.state, proposer, view, disks)
        if state is None:
            self._outbox.answer(call_id, wire.AdoptViewAnswer(adopted=False))
            return
        self.record_heartbeat(proposer, view.epoch, now)
        answer = wire.AdoptViewAnswer(adopted=True)
        self.save(state, now, lambda now: self._outbox.answer(call_id, answer))

    def on_hand_over(self, call_id: int, request: wire.HandOverRequest, now: float) -> None:
        """Handle the notice of a primary that stepped down: end the guard of its lease."""
        matches = self.supported_primary == disk_from_wire(request.primary)
        if matches and request.epoch == self.supported_epoch:
            self.last_heartbeat_at = now - LEASE_GUARD_S
        self._outbox.answer(call_id, wire.HandOverAnswer(ok=matches))

    def release(self, now: float) -> None:
        """End the lease guard if it is for this core's own lease."""
        if self.supported_primary == self.state.own:
            self.last_heartbeat_at = now - LEASE_GUARD_S

    def _answer_read(self, call_id: int, now: float) -> None:
        self._outbox.answer(call_id, self._read_answer(now, registered=True))

    def _answer_prepare(self, call_id: int, epoch: int) -> None:
        self._outbox.answer(
            call_id, self._prepare_answer(granted=self.state.promised_epoch == epoch)
        )

    def _prepare_answer(self, *, granted: bool) -> wire.PrepareAnswer:
        state = self.state
        return wire.PrepareAnswer(
            granted=granted,
            voter=disk_to_wire(state.own),
            voting=state.voting,
            promised_epoch=state.promised_epoch,
            view=view_to_wire(state.view) if state.view else None,
            last=position_to_wire(self._last()),
        )

    def _accept_answer(self, *, accepted: bool) -> wire.AcceptAnswer:
        return wire.AcceptAnswer(accepted=accepted, promised_epoch=self.state.promised_epoch)

    def _read_answer(self, now: float, *, registered: bool) -> wire.ReadWitnessAnswer:
        return wire.ReadWitnessAnswer(
            registered=registered,
            state=witness_to_wire(self.state),
            last=position_to_wire(self._last()),
            reported_epoch=self._group_reports.reported_epoch(now),
        )

    def _write(self, record: bytes, now: float) -> None:
        self._file_records += 1
        if self._file_records > WITNESS_REWRITE_RECORDS:
            self._file_records = 1
            self._disk.rewrite(WITNESS_FILE, [record], now)
        else:
            self._disk.append(WITNESS_FILE, [record], now)


def _primary_disk(view: View | None) -> MemberDisk | None:
    """Return the disk of a view's primary, None without a view.

    A witness counts for a lease only under a view that it has accepted durably. After a restart
    it therefore has to guard only the lease of that view's primary, which doesn't block
    proposals of that primary itself.
    """
    if view is None:
        return None
    return next((disk for disk in view.in_sync if disk.core_id == view.primary_id), None)


def blank_state(own: MemberDisk, folder_identity: str) -> WitnessState:
    """Return the state of a witness that may not vote yet."""
    return attrs.evolve(WitnessState(own), folder_identity=folder_identity)
