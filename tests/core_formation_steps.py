"""What may happen while the founders form the first view, over the real ``witness_rules``.

A step yields each state that it leads to from a state, for one core; none if it can't happen.
"""

from collections.abc import Callable, Iterator
from itertools import combinations

import attrs

from rooklug.core import group_reports, quorum, witness_rules
from rooklug.core.group_reports import GroupPast
from rooklug.core.types import CoreMember, MemberDisk, Promise, WitnessState
from tests.core_formation_world import (
    START,
    Accept,
    Accepted,
    Budget,
    Core,
    Life,
    Message,
    Prepare,
    Promised,
    ReadAnswer,
    World,
    chosen_roots,
    founders_of,
    in_order,
)


def _with(
    world: World, index: int, core: Core, sent: tuple[Message, ...] = (), **changes: object
) -> World:
    cores = list(world.cores)
    cores[index] = core
    return attrs.evolve(world, cores=tuple(cores), messages=world.messages.union(sent), **changes)


def _spend(world: World, name: str) -> Budget:
    return attrs.evolve(world.budget, **{name: getattr(world.budget, name) - 1})


def _start(world: World, index: int) -> Iterator[World]:
    """Start for the first time: the founder's right is on its disk before it answers anybody."""
    core = world.cores[index]
    if core.life is Life.BEFORE_START:
        state = witness_rules.become_founder(core.state, founders_of(world))
        yield _with(world, index, world.started(state))


def _kill_before_record(world: World, index: int) -> Iterator[World]:
    """Kill the first process before it has written anything; the next one has no right."""
    core = world.cores[index]
    if core.life is Life.BEFORE_START and world.budget.early_kills:
        killed = world.started(core.state)
        yield _with(world, index, killed, budget=_spend(world, "early_kills"))


def _lose_machine(world: World, index: int) -> Iterator[World]:
    core = world.cores[index]
    if core.life is not Life.GONE and world.budget.lost_machines:
        gone = attrs.evolve(core, life=Life.GONE)
        yield _with(world, index, gone, budget=_spend(world, "lost_machines"))


def _lose_disk(world: World, index: int) -> Iterator[World]:
    core = world.cores[index]
    if core.life is Life.RUNS and world.budget.lost_disks:
        core_id = core.state.own.core_id
        disk = MemberDisk(core_id, f"{core_id}{9 - world.budget.lost_disks}")
        blank = world.started(WitnessState(disk))
        yield _with(world, index, blank, budget=_spend(world, "lost_disks"))


def _crash(world: World, index: int) -> Iterator[World]:
    """End the process and start another; the messages of its proposal stay in the network."""
    core = world.cores[index]
    if core.life is Life.RUNS:
        yield _with(world, index, world.started(core.state))


def _hear_of_primary(world: World, index: int) -> Iterator[World]:
    """A node reports that it has heard of a primary, once there may have been one."""
    core = world.cores[index]
    if core.life is Life.RUNS and chosen_roots(world):
        yield _with(world, index, attrs.evolve(core, past=GroupPast.HAD_PRIMARY))


def _stop_listening(world: World, index: int) -> Iterator[World]:
    """The time passes within which the nodes report; by the premise they have done so."""
    core = world.cores[index]
    if core.life is not Life.RUNS or core.past is not GroupPast.LISTENING:
        return
    reports = not chosen_roots(world) or any(
        other.past is GroupPast.HAD_PRIMARY for other in world.cores
    )
    if reports:
        yield _with(world, index, attrs.evolve(core, past=GroupPast.NO_PRIMARY_REPORTED))


def _hear_of_start(world: World, index: int) -> Iterator[World]:
    """A node that has been cut off since the first start reports that to a core without a vote."""
    core = world.cores[index]
    if core.life is Life.RUNS and not core.state.voting and world.budget.start_reports:
        told = attrs.evolve(core, is_told_start=True)
        yield _with(world, index, told, budget=_spend(world, "start_reports"))


def _propose(world: World, index: int) -> Iterator[World]:
    core = world.cores[index]
    state = core.state
    if core.life is not Life.RUNS or core.epoch or not state.voting or not world.budget.proposals:
        return
    if state.view is not None and not state.view.has(state.own):
        return
    used = [m.epoch for m in world.messages if isinstance(m, Prepare)]
    after = max([state.promised_epoch, *(e for e in used if e % 3 == index % 3)])
    epoch = witness_rules.next_epoch(after, index)
    budget = _spend(world, "proposals")
    prepare = Prepare(epoch, state.own)
    yield _with(world, index, attrs.evolve(core, epoch=epoch), (prepare,), budget=budget)


def _promise(world: World, index: int) -> Iterator[World]:
    core = world.cores[index]
    if core.life is not Life.RUNS:
        return
    for message in in_order(world.messages):
        if not isinstance(message, Prepare):
            continue
        is_own = message.proposer.core_id == core.state.own.core_id
        if is_own and (message.proposer != core.state.own or core.epoch != message.epoch):
            continue
        state = witness_rules.promise(core.state, message.epoch, message.proposer)
        if state is not None:
            promise = Promise(state.own, state.view, START)
            promised = Promised(message.epoch, message.proposer, promise)
            yield _with(world, index, attrs.evolve(core, state=state), (promised,))


def _send_accept(world: World, index: int) -> Iterator[World]:
    core = world.cores[index]
    state = core.state
    if core.life is not Life.RUNS or not core.epoch or state.promised_epoch != core.epoch:
        return
    promises = [
        message.promise
        for message in in_order(world.messages)
        if isinstance(message, Promised)
        and message.epoch == core.epoch
        and message.proposer == state.own
    ]
    own = [promise for promise in promises if promise.voter == state.own]
    others = sorted((p for p in promises if p.voter != state.own), key=lambda p: p.voter)
    if not own:
        return
    needed = quorum.majority(len(world.cores)) - 1
    for count in range(needed, len(others) + 1):
        for group in combinations(others, count):
            if len({promise.voter.core_id for promise in group}) == count:
                yield from _accept_with(world, index, own[0], list(group))


def _accept_with(world: World, index: int, own: Promise, group: list[Promise]) -> Iterator[World]:
    core = world.cores[index]
    view = witness_rules.choose_view(core.epoch, own, group, founders=core.state.founders)
    if view is None:
        return
    latest = witness_rules.newest_view(own, group)
    root = dict(world.roots)[latest.epoch] if latest is not None else view.epoch
    voters = (own.voter, *(promise.voter for promise in group))
    state = witness_rules.accept(core.state, own.voter, view, voters)
    if state is None:
        return
    request = Accept(own.voter, view, voters, root)
    roots = world.roots | {(view.epoch, root)}
    accepted = Accepted(view.epoch, root, own.voter)
    accepting = attrs.evolve(core, state=state, epoch=0)
    yield _with(world, index, accepting, (request, accepted), roots=roots)
    # Crash after the request was sent, and before the proposer's own accept was synced.
    yield _with(world, index, attrs.evolve(core, epoch=0), (request,), roots=roots)


def _accept(world: World, index: int) -> Iterator[World]:
    core = world.cores[index]
    if core.life is not Life.RUNS:
        return
    for message in in_order(world.messages):
        if not isinstance(message, Accept) or message.proposer == core.state.own:
            continue
        state = witness_rules.accept(core.state, message.proposer, message.view, message.voters)
        if state is not None:
            accepted = Accepted(message.view.epoch, message.root, state.own)
            yield _with(world, index, attrs.evolve(core, state=state), (accepted,))


def _answer_read(world: World, index: int) -> Iterator[World]:
    """Answer the read of a core without a vote, after its disk is registered."""
    core = world.cores[index]
    if core.life is not Life.RUNS:
        return
    for other in world.cores:
        if other is core or other.life is not Life.RUNS or other.state.voting:
            continue
        state = witness_rules.register_disk(core.state, other.state.own)
        if state is not None:
            answer = ReadAnswer(other.state.own, state, core.past)
            yield _with(world, index, attrs.evolve(core, state=state), (answer,))


def _obtain_vote(world: World, index: int) -> Iterator[World]:
    core = world.cores[index]
    if core.life is not Life.RUNS or core.state.voting:
        return
    answers = [
        message
        for message in in_order(world.messages)
        if isinstance(message, ReadAnswer) and message.reader == core.state.own
    ]
    for count in range(1, len(world.cores)):
        for group in combinations(answers, count):
            if len({answer.state.own.core_id for answer in group}) == count:
                state = vote_from(core, group, founders_of(world))
                if state is not None:
                    yield _with(world, index, attrs.evolve(core, state=state))


def vote_from(
    core: Core, answers: tuple[ReadAnswer, ...], founders: tuple[CoreMember, ...]
) -> WitnessState | None:
    """Mirrors the decision of ``Formation``."""
    states = [answer.state for answer in answers]
    recovered = witness_rules.recover_vote(core.state, states, len(founders))
    if recovered is not None:
        return recovered
    all_answered = len(states) >= len(founders) - 1
    is_first_start = core.is_told_start or any(other.voting for other in states)
    past = group_reports.combined([core.past, *(answer.past for answer in answers)])
    if all_answered and is_first_start and past is GroupPast.NO_PRIMARY_REPORTED:
        return witness_rules.become_founder(core.state, founders, states)
    return None


STEPS: tuple[Callable[[World, int], Iterator[World]], ...] = (
    _start,
    _kill_before_record,
    _lose_machine,
    _lose_disk,
    _crash,
    _propose,
    _promise,
    _send_accept,
    _accept,
    _answer_read,
    _obtain_vote,
)
REPORTS: tuple[Callable[[World, int], Iterator[World]], ...] = (
    _hear_of_primary,
    _hear_of_start,
    _stop_listening,
)


def steps_of(world: World) -> tuple[Callable[[World, int], Iterator[World]], ...]:
    """Return what may happen; without nodes that report, the reports are left out."""
    return STEPS + REPORTS if world.nodes_report else STEPS
