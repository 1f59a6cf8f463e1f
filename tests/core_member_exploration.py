"""Exploration of view changes that also change the members, over the real ``witness_rules``.

Of four cores, three vote and the fourth is to replace one of them. Messages arrive late, several
times or never, in any order; logs and leases are not modelled. The invariant: the proposer of a
chosen view knows every view that was chosen before it, even one chosen by other members. The
guarantees about in-sync disks and commits depend on it.
"""

from collections.abc import Callable, Iterator
from itertools import combinations
from random import Random

import attrs

from rooklug.core import quorum, witness_rules
from rooklug.core.types import CoreMember, MemberDisk, Position, Promise, View, WitnessState
from tests.core_exploration_states import FIRST_EPOCH, Accept

CORES = ("a", "b", "c", "d")
START = Position(0, 0)
CHANGE = witness_rules.MemberChange(CoreMember("d", "d:1"), "c")
# A core that leads proposes the member change, then a view without the old members.
PROPOSERS = ("a", "b", "c")


@attrs.frozen(cache_hash=True)
class Prepare:
    epoch: int
    proposer: MemberDisk
    changing: bool


@attrs.frozen(cache_hash=True)
class Promised:
    epoch: int
    proposer: MemberDisk
    promise: Promise


@attrs.frozen(cache_hash=True)
class Accepted:
    view: View
    voter: MemberDisk


@attrs.frozen(cache_hash=True)
class Proposal:
    """A proposed view, the epoch of the newest view that its proposer knew, and who must accept."""

    view: View
    base: int
    electorates: tuple[frozenset[str], ...]


@attrs.frozen(cache_hash=True)
class Core:
    state: WitnessState
    epoch: int = 0  # of the proposal in progress, 0 if none
    changing: bool = False
    leads: View | None = None


@attrs.frozen(cache_hash=True)
class World:
    cores: tuple[Core, ...]
    messages: frozenset
    proposals: frozenset[Proposal]
    chosen: frozenset[Proposal]
    rounds_left: tuple[int, ...]


class BrokenInvariantError(AssertionError):
    """A view was chosen whose proposer didn't know one that had been chosen before it."""


def electorates(view: View) -> tuple[frozenset[str], ...]:
    found = (view.member_ids,)
    return (*found, view.previous_ids) if view.previous else found


def first_world(rounds: tuple[int, ...]) -> World:
    """``a`` leads the first view, of a, b and c; each core may start ``rounds`` proposals."""
    disks = tuple(MemberDisk(core_id, core_id + "1") for core_id in CORES)
    members = tuple(CoreMember(core_id, f"{core_id}:1") for core_id in CORES[:3])
    view = View(FIRST_EPOCH, "a", disks[:3], members)
    voters = [WitnessState(d, "", True, FIRST_EPOCH, disks[0], view, disks[:3]) for d in disks[:3]]
    cores = [Core(state) for state in (*voters, WitnessState(disks[3]))]
    cores[0] = attrs.evolve(cores[0], leads=view)
    chosen = Proposal(view, 0, electorates(view))
    return World(tuple(cores), frozenset(), frozenset([chosen]), frozenset([chosen]), rounds)


def explore(start: World, limit: int) -> tuple[int, bool, int]:
    """Return the states visited, whether those are all, and the number of views chosen.

    Raises ``BrokenInvariantError``.
    """
    seen, level, chosen = {start}, [start], set()
    while level and len(seen) < limit:
        following = []
        for world in level:
            for successor in successors(world):
                if successor not in seen:
                    check_invariant(successor)
                    seen.add(successor)
                    following.append(successor)
                    chosen |= successor.chosen
            if len(seen) >= limit:
                break
        level = following
    return len(seen), not level, len(chosen)


def walk(start: World, walks: int, steps: int, seed: int) -> int:
    """Check each state of ``walks`` random walks from the start; return how many were visited.

    Walks reach deeper states than the exhaustive exploration can.
    """
    random = Random(seed)
    visited = 0
    for _ in range(walks):
        world = start
        for _ in range(steps):
            next_worlds = [next_world for next_world in successors(world) if next_world != world]
            if not next_worlds:
                break
            world = random.choice(next_worlds)
            check_invariant(world)
            visited += 1
    return visited


def world_after_partial_change(rounds: tuple[int, ...]) -> World:
    """``a`` has proposed to replace ``c`` by ``d``, and no other core has accepted it yet."""
    world = first_world((1, 0, 0, 0))
    a, b, _, d = (core.state.own for core in world.cores)
    for chosen in (_begins, _promises_of(b), _promises_of(d), _promises_of(a), _proposes):
        world = next(next_world for next_world in successors(world) if chosen(next_world, world))
    return attrs.evolve(world, messages=frozenset(), rounds_left=rounds)


def _begins(world: World, before: World) -> bool:
    return world.rounds_left != before.rounds_left


def _promises_of(disk: MemberDisk) -> Callable[[World, World], bool]:
    def promised(world: World, before: World) -> bool:
        new = world.messages - before.messages
        return any(isinstance(m, Promised) and m.promise.voter == disk for m in new)

    return promised


def _proposes(world: World, before: World) -> bool:
    new = world.proposals - before.proposals
    return any("d" in proposal.view.member_ids for proposal in new)


def check_invariant(world: World) -> None:
    for one in world.chosen:
        for later in world.chosen:
            if one.view.epoch < later.view.epoch and later.base < one.view.epoch:
                raise BrokenInvariantError(
                    f"{later} was chosen by a proposer that didn't know {one}"
                )


def successors(world: World) -> Iterator[World]:
    for index in range(len(CORES)):
        yield from _begin(world, index)
        yield from _promise_own(world, index)
        yield from _propose(world, index)
        for message in world.messages:
            yield from _handle_message(world, index, message)
    yield from _choose(world)


def _with(world: World, index: int, core: Core, *sent: object, **changes: object) -> World:
    cores = list(world.cores)
    cores[index] = core
    return attrs.evolve(world, cores=tuple(cores), messages=world.messages.union(sent), **changes)


def _begin(world: World, index: int) -> Iterator[World]:
    core = world.cores[index]
    state = core.state
    may_lead = state.view is not None and state.view.has(state.own)
    if not world.rounds_left[index] or not may_lead or CORES[index] not in PROPOSERS:
        return
    # An epoch that only this core proposes, higher than any that it has promised.
    epoch = state.promised_epoch - state.promised_epoch % 4 + index
    epoch += 4 if epoch <= state.promised_epoch else 0
    if any(isinstance(m, Prepare) and m.epoch == epoch for m in world.messages):
        epoch += 4
    rounds = list(world.rounds_left)
    rounds[index] -= 1
    changing = core.leads is not None
    begun = attrs.evolve(core, epoch=epoch, changing=changing)
    prepare = Prepare(epoch, state.own, changing)
    yield _with(world, index, begun, prepare, rounds_left=tuple(rounds))


def _promise_own(world: World, index: int) -> Iterator[World]:
    core = world.cores[index]
    if not core.epoch or core.state.promised_epoch >= core.epoch:
        return
    state = witness_rules.promise(core.state, core.epoch, core.state.own)
    if state is not None:
        promise = Promise(state.own, state.view, START)
        sent = Promised(core.epoch, state.own, promise)
        yield _with(world, index, attrs.evolve(core, state=state), sent)


def _propose(world: World, index: int) -> Iterator[World]:
    core = world.cores[index]
    if not core.epoch or core.state.promised_epoch != core.epoch:
        return
    promises = [
        message.promise
        for message in world.messages
        if isinstance(message, Promised)
        and message.epoch == core.epoch
        and message.proposer == core.state.own
    ]
    own = [p for p in promises if p.voter == core.state.own]
    others = sorted((p for p in promises if p.voter != core.state.own), key=lambda p: p.voter)
    for count in range(1, len(others) + 1):
        for group in combinations(others, count):
            yield from _propose_with(world, index, own, list(group))


def _propose_with(
    world: World, index: int, own: list[Promise], group: list[Promise]
) -> Iterator[World]:
    core = world.cores[index]
    if not own:
        return
    latest = witness_rules.newest_view(own[0], group)
    votes = {promise.voter.core_id for promise in (own[0], *group)}
    if not quorum.has_quorum(votes, electorates(latest)):
        return
    change = CHANGE if core.changing and not core.leads.previous else None
    view = witness_rules.choose_view(
        core.epoch, own[0], group, frozenset("c") if change else frozenset(), change, core.leads
    )
    if view is None:
        return
    voters = (own[0].voter, *(promise.voter for promise in group))
    state = witness_rules.accept(core.state, core.state.own, view, voters)
    if state is None:
        return
    proposal = Proposal(view, latest.epoch, must_agree(latest, view))
    sent = (Accept(core.state.own, view, voters), Accepted(view, core.state.own))
    proposed = attrs.evolve(core, state=state, epoch=0)
    yield _with(world, index, proposed, *sent, proposals=world.proposals | {proposal})


def must_agree(latest: View, view: View) -> tuple[frozenset[str], ...]:
    """Mirrors ``ViewChanger._propose``: the electorates of the old and of the new view."""
    return (*electorates(latest), *electorates(view))


def _handle_message(world: World, index: int, message: object) -> Iterator[World]:
    core = world.cores[index]
    if isinstance(message, Prepare) and message.proposer != core.state.own:
        joining = message.changing and CORES[index] == "d"
        rule = witness_rules.promise_to_join if joining else witness_rules.promise
        state = rule(core.state, message.epoch, message.proposer)
        if state is not None and state != core.state:
            promise = Promise(state.own, state.view, START)
            sent = Promised(message.epoch, message.proposer, promise)
            yield _with(world, index, attrs.evolve(core, state=state), sent)
    if isinstance(message, Accept) and message.proposer != core.state.own:
        state = witness_rules.accept(core.state, message.proposer, message.view, message.voters)
        if state is not None and state != core.state:
            sent = Accepted(message.view, state.own)
            yield _with(world, index, attrs.evolve(core, state=state), sent)


def _choose(world: World) -> Iterator[World]:
    for proposal in world.proposals - world.chosen:
        accepted = {
            m.voter.core_id
            for m in world.messages
            if isinstance(m, Accepted) and m.view == proposal.view
        }
        if quorum.has_quorum(accepted, proposal.electorates):
            index = CORES.index(proposal.view.primary_id)
            core = world.cores[index]
            leads = attrs.evolve(core, leads=proposal.view)
            yield _with(world, index, leads, chosen=world.chosen | {proposal})
