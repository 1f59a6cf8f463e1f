"""States and messages of the model that ``core_exploration`` explores, and its start states."""

import attrs

from rooklug.core import witness_rules
from rooklug.core.types import MemberDisk, Promise, View, WitnessState

CORES = ("a", "b", "c")
FIRST_EPOCH = 3
Log = tuple[int, ...]  # the epoch of each entry


@attrs.frozen(cache_hash=True)
class Prepare:
    epoch: int
    proposer: MemberDisk


@attrs.frozen(cache_hash=True)
class Promised:
    epoch: int
    promise: Promise


@attrs.frozen(cache_hash=True)
class Accept:
    proposer: MemberDisk
    view: View
    voters: tuple[MemberDisk, ...]


@attrs.frozen(cache_hash=True)
class Accepted:
    epoch: int
    voter: MemberDisk


@attrs.frozen(cache_hash=True)
class StartView:
    view: View
    log: Log


@attrs.frozen(cache_hash=True)
class Append:
    epoch: int
    log: Log  # up to and including the appended entry


@attrs.frozen(cache_hash=True)
class Appended:
    epoch: int
    member: MemberDisk
    length: int


@attrs.frozen(cache_hash=True)
class ReadAnswer:
    reader: MemberDisk
    state: WitnessState


Message = Prepare | Promised | Accept | Accepted | StartView | Append | Appended | ReadAnswer


@attrs.frozen(cache_hash=True)
class Member:
    """A core: its disk (``state``, ``log``), and the fields that a crash resets."""

    state: WitnessState
    log: Log = ()
    round_epoch: int = 0
    proposed: bool = False
    leading: View | None = None
    verified: int = 0


@attrs.frozen(cache_hash=True)
class Budget:
    """How many more events of each kind may happen."""

    proposals: int
    appends: int
    crashes: int
    lost_disks: int


@attrs.frozen(cache_hash=True)
class Commit:
    epoch: int
    log: Log


@attrs.frozen(cache_hash=True)
class World:
    members: tuple[Member, Member, Member]
    messages: frozenset[Message]
    budget: Budget
    commits: frozenset[Commit] = frozenset()
    chosen: frozenset[StartView] = frozenset()


class BrokenInvariantError(AssertionError):
    """A committed entry was lost, or two different entries were committed."""


@attrs.frozen
class Exploration:
    """Counts of an exploration; ``complete`` if all reachable states were visited."""

    states: int
    complete: bool
    commits: int
    chosen: int


def first_world(budget: Budget) -> World:
    """All three cores are in sync in the first view, and ``a`` is its primary."""
    disks = tuple(MemberDisk(core_id, core_id + "1") for core_id in CORES)
    view = View(FIRST_EPOCH, "a", disks)
    states = [WitnessState(disk, "", True, FIRST_EPOCH, disks[0], view, disks) for disk in disks]
    members = [Member(state) for state in states]
    members[0] = attrs.evolve(members[0], leading=view, verified=FIRST_EPOCH)
    return World(tuple(members), frozenset([StartView(view, ())]), budget)


def world_after_failover(budget: Budget, learner: bool = False) -> World:
    """``b`` leads the second view with ``c``, and has committed one entry.

    ``a`` still considers itself primary of the first view or, as a learner, has caught up.
    """
    before = first_world(budget)
    outdated, backup, other = before.members
    disks = before.members[0].state.disks
    epoch = witness_rules.next_epoch(FIRST_EPOCH, 1)
    view = View(epoch, "b", disks[1:])
    start = StartView(view, ())
    primary = Member(_led_by(backup.state, view), (epoch,), leading=view, verified=epoch)
    follower = Member(_led_by(other.state, view), (epoch,), verified=epoch)
    if learner:
        outdated = Member(_led_by(outdated.state, view), (epoch,), verified=epoch)
    return World(
        (outdated, primary, follower),
        frozenset([start, Append(epoch, (epoch,)), Appended(epoch, follower.state.own, 1)]),
        budget,
        frozenset([Commit(epoch, (epoch,))]),
        frozenset([start]),
    )


def world_after_partial_view_change(budget: Budget) -> World:
    """``b`` abandoned a view with ``a`` in sync after both had accepted it."""
    world = world_after_failover(budget, learner=True)
    learner, primary, follower = world.members
    epoch = witness_rules.next_epoch(primary.state.promised_epoch, 1)
    view = View(epoch, "b", (learner.state.own, primary.state.own))
    accepted = [
        attrs.evolve(m, state=attrs.evolve(_led_by(m.state, view), promised_to=primary.state.own))
        for m in (learner, primary)
    ]
    return attrs.evolve(world, members=(*accepted, follower))


def _led_by(state: WitnessState, view: View) -> WitnessState:
    return attrs.evolve(state, promised_epoch=view.epoch, promised_to=view.in_sync[0], view=view)
