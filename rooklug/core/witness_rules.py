"""The rules of a witness, as pure functions on its durable state.

The caller must store the returned state durably before it sends the answer.
"""

from collections.abc import Iterable

import attrs

from rooklug.core.constants import EPOCH_SLOTS
from rooklug.core.quorum import readers_needed
from rooklug.core.types import CoreMember, MemberDisk, Promise, View, WitnessState


def next_epoch(after: int, core_index: int) -> int:
    """Return the smallest epoch above ``after`` that the core ``core_index`` may propose.

    With more than ``EPOCH_SLOTS`` cores, two may propose the same epoch. A witness promises it to
    only one of them, so at most one obtains a majority.
    """
    epoch = after - after % EPOCH_SLOTS + core_index % EPOCH_SLOTS
    return epoch if epoch > after else epoch + EPOCH_SLOTS


def promise(state: WitnessState, epoch: int, proposer: MemberDisk) -> WitnessState | None:
    """Promise an epoch to ``proposer``, and so reject lower ones; None when refused."""
    if not state.voting or proposer.disk_id in state.retired:
        return None
    if epoch > state.promised_epoch:
        return attrs.evolve(state, promised_epoch=epoch, promised_to=proposer)
    repeated = epoch == state.promised_epoch and proposer == state.promised_to
    return state if repeated and state.accepted_epoch < epoch else None


def promise_to_join(state: WitnessState, epoch: int, proposer: MemberDisk) -> WitnessState | None:
    """Promise as a core that the proposed view would make a member; None when refused.

    A witness that may not vote yet can promise here: it was in no view, so it can't have
    forgotten a vote. The primary never proposes a core that is a member already; such a core
    regains its vote by ``recover_vote`` after a lost disk.
    """
    if state.voting:
        return promise(state, epoch, proposer)
    if epoch <= state.promised_epoch or state.view is not None:
        return None
    return attrs.evolve(state, voting=True, promised_epoch=epoch, promised_to=proposer)


def accept(
    state: WitnessState, proposer: MemberDisk, view: View, promises: Iterable[MemberDisk]
) -> WitnessState | None:
    """Accept a view whose epoch was promised; None when refused.

    ``promises`` are the disks whose promises the proposal is based on. A view is refused if one
    of them has been lost since, because the new disk doesn't know of that promise.
    """
    promises = tuple(promises)
    if not state.voting or any(voter.disk_id in state.retired for voter in promises):
        return None
    if state.view is None and _rests_on_another_disk(state, promises):
        return None
    if state.own not in promises:
        return None
    if view.epoch != state.promised_epoch or proposer != state.promised_to:
        return None
    return attrs.evolve(state, view=view)


def _rests_on_another_disk(state: WitnessState, promises: Iterable[MemberDisk]) -> bool:
    """Return whether a promise comes from a disk other than the one registered for its core.

    Before the first view, a disk may be lost whose identity no other witness has recorded, so that
    it can't be retired. Its core's new disk is registered, and the lost one's promises are void.
    """
    registered = {disk.core_id: disk for disk in state.disks}
    return any(registered.get(voter.core_id, voter) != voter for voter in promises)


def learn_view(state: WitnessState, view: View) -> WitnessState | None:
    """Adopt a view that a majority has accepted; None when it is outdated."""
    if not state.voting or view.epoch < state.promised_epoch:
        return None
    if view.epoch == state.accepted_epoch:
        return state
    primary = next((disk for disk in view.in_sync if disk.core_id == view.primary_id), None)
    return attrs.evolve(state, promised_epoch=view.epoch, promised_to=primary, view=view)


def register_disk(state: WitnessState, reader: MemberDisk) -> WitnessState | None:
    """Register the disk of a core that reads this state; None when that disk is retired.

    The disk that the core had before becomes retired.
    """
    if reader.disk_id in state.retired:
        return None
    known = {disk.core_id: disk for disk in state.disks}
    previous = known.get(reader.core_id)
    if previous == reader:
        return state
    retired = set(state.retired)
    if previous is not None:
        retired.add(previous.disk_id)
    known[reader.core_id] = reader
    disks = tuple(sorted(known.values()))
    return attrs.evolve(state, disks=disks, retired=tuple(sorted(retired)))


def become_founder(
    state: WitnessState, founders: tuple[CoreMember, ...], others: Iterable[WitnessState] = ()
) -> WitnessState | None:
    """Obtain a vote for the first view; None when refused.

    Without ``others`` the caller must know that this disk has never voted: it is blank at the first
    start of the group. Else ``others`` are the states of ALL other founders, which have registered
    this disk. A view that was chosen with the vote of a lost disk is still known to one of them, or
    the accept that would choose it rests on the lost disk's promise, and is refused.
    """
    others = tuple(others)
    if state.voting or any(known.view is not None for known in (state, *others)):
        return None
    if any(state.own.disk_id in other.retired for other in others):
        return None
    return _with_votes_of(attrs.evolve(state, voting=True, founders=founders), others)


def _with_votes_of(state: WitnessState, others: Iterable[WitnessState]) -> WitnessState:
    """Return a state that is bound by the others' promises and knows their disks.

    A disk that has registered itself at this witness replaces the one that an answer names.
    """
    others = tuple(others)
    newest = max((state, *others), key=lambda known: known.promised_epoch)
    disks = {other.own.core_id: other.own for other in others}
    disks |= {disk.core_id: disk for disk in state.disks}
    disks[state.own.core_id] = state.own
    return attrs.evolve(
        state,
        promised_epoch=newest.promised_epoch,
        promised_to=newest.promised_to,
        disks=tuple(sorted(disks.values())),
        retired=tuple(sorted({*state.retired, *(d for other in others for d in other.retired)})),
    )


def recover_vote(
    state: WitnessState, others: Iterable[WitnessState], member_count: int = 3
) -> WitnessState | None:
    """Regain the vote after a lost disk, from the states of other members' witnesses.

    The others must have registered this disk before they answered. Return None when too few of
    them may vote (with three members BOTH others must, see ``quorum.readers_needed``), or when
    this disk is retired.
    """
    others = [other for other in others if other.voting]
    if len(others) < readers_needed(member_count):
        return None
    retired = {disk_id for other in others for disk_id in other.retired}
    if state.own.disk_id in retired:
        return None
    if all(other.view is None for other in others):
        founders = next((other.founders for other in others if other.founders), ())
        return _with_votes_of(attrs.evolve(state, voting=True, founders=founders), others)
    newest = max(others, key=lambda other: other.promised_epoch)
    view = max((other.view for other in others), key=lambda view: view.epoch if view else 0)
    return attrs.evolve(
        state,
        voting=True,
        promised_epoch=newest.promised_epoch,
        promised_to=newest.promised_to,
        view=view,
        disks=tuple(sorted([state.own, *(other.own for other in others)])),
        retired=tuple(sorted(retired)),
    )


def adopt_view(
    state: WitnessState, proposer: MemberDisk, view: View, disks: Iterable[MemberDisk]
) -> WitnessState | None:
    """Adopt the view of an operator's recovery; None when it is outdated.

    Unlike ``accept`` it requires no promise and no vote: an operator has confirmed what may be
    lost. Disks that aren't among ``disks`` become retired.
    """
    known = {disk.core_id: disk for disk in disks}
    if known.get(state.own.core_id) != state.own:
        return None
    if view.epoch <= state.promised_epoch:
        return state if state.view == view else None
    replaced = {disk.disk_id for disk in state.disks} - {disk.disk_id for disk in known.values()}
    return attrs.evolve(
        state,
        voting=True,
        promised_epoch=view.epoch,
        promised_to=proposer,
        view=view,
        disks=tuple(sorted(known.values())),
        retired=tuple(sorted({*state.retired, *replaced})),
    )


@attrs.frozen
class MemberChange:
    """A change of the voting members: at most one core joins, and at most one leaves."""

    joiner: CoreMember | None = None
    leaver: str = ""


def newest_view(own: Promise, others: Iterable[Promise]) -> View | None:
    """Return the newest view among the promises, None if none has a view."""
    known = [promise.view for promise in (own, *others) if promise.view is not None]
    return max(known, key=lambda view: view.epoch, default=None)


def choose_view(
    epoch: int,
    own: Promise,
    others: Iterable[Promise],
    excluded: frozenset[str] = frozenset(),
    change: MemberChange | None = None,
    chosen_view: View | None = None,
    founders: tuple[CoreMember, ...] = (),
) -> View | None:
    """Return the view to propose, or None when this core may not become the primary.

    If no view is known yet, the ``founders`` become the members of the first one.

    Only a disk that is in sync in the newest accepted view may lead. Another disk stays in sync
    if it was, or is admitted if its log is equal to the proposer's. All of them have promised
    ``epoch``, so no earlier primary can change their logs any more.

    Members change in two steps: by a joint view that majorities of both the old and the new
    members must choose, and then, once that is ``chosen_view`` (chosen, and no newer one is
    known), by a view without the old members.
    """
    others = list(others)
    latest = newest_view(own, others)
    if latest is None and founders:
        latest = View(0, own.voter.core_id, (own.voter,), founders)
    if latest is None or not latest.has(own.voter):
        return None
    members, previous = latest.members, latest.previous
    if previous and latest == chosen_view:
        previous = ()
    elif change is not None and not previous:
        voters = {promise.voter.core_id for promise in others}
        members, previous = _changed(latest, change, voters)
    voting = {member.core_id for member in (*members, *previous)}
    joined = [
        other.voter
        for other in others
        if other.voter.core_id not in excluded
        and (not voting or other.voter.core_id in voting)
        and (latest.has(other.voter) or other.last == own.last)
    ]
    in_sync = tuple(sorted([own.voter, *joined]))
    return View(epoch, own.voter.core_id, in_sync, members, previous)


def _changed(
    latest: View, change: MemberChange, voters: set[str]
) -> tuple[tuple[CoreMember, ...], tuple[CoreMember, ...]]:
    """Return the members after a change, and those before it (empty if nothing changes).

    A core may join only if it has promised, and only if it isn't a member yet: a repeated member
    would make another one leave, and would count once where majorities count members.
    """
    before = latest.members
    if change.joiner is not None and change.joiner.core_id in latest.member_ids:
        return before, ()
    after = [member for member in before if member.core_id != change.leaver]
    if change.joiner is not None:
        if change.joiner.core_id not in voters:
            return before, ()
        after.append(change.joiner)
    members = tuple(sorted(after))
    return (members, before) if members != before else (before, ())
