"""Breadth-first exploration of a model of view changes and replication.

The model uses the real ``witness_rules``. Messages are never removed from the network: each may
arrive late, several times, or never, in any order. Leases and deadlines are not modelled, which
only allows more histories. The invariants are checked against every entry that was ever
committed and every view that was ever chosen.
"""

import argparse
from collections.abc import Callable, Iterable, Iterator
from functools import cache
from itertools import combinations

import attrs

from rooklug.core import witness_rules
from rooklug.core.types import MemberDisk, Position, Promise, WitnessState
from tests.core_exploration_states import (
    CORES,
    Accept,
    Accepted,
    Append,
    Appended,
    BrokenInvariantError,
    Budget,
    Commit,
    Exploration,
    Log,
    Member,
    Message,
    Prepare,
    Promised,
    ReadAnswer,
    StartView,
    World,
    first_world,
    world_after_failover,
    world_after_partial_view_change,
)


def explore(start: World, limit: int) -> Exploration:
    """Visit all reachable states, up to ``limit``; raise if an invariant is broken."""
    _handle_message.cache_clear()
    seen = {start}
    level = [start]
    commits: set[Commit] = set()
    chosen: set[StartView] = set()
    while level and len(seen) < limit:
        following = []
        for world in level:
            for successor in successors(world):
                if successor not in seen:
                    _check_invariants(successor)
                    seen.add(successor)
                    following.append(successor)
                    commits |= successor.commits
                    chosen |= successor.chosen
            if len(seen) >= limit:
                break
        level = following
    return Exploration(len(seen), not level, len(commits), len(chosen))


def _check_invariants(world: World) -> None:
    for one, other in combinations(world.commits, 2):
        shared = min(len(one.log), len(other.log))
        if one.log[:shared] != other.log[:shared]:
            raise BrokenInvariantError(f"two logs committed that differ: {one} and {other}")
    for commit in world.commits:
        for start in world.chosen:
            lost = start.log[: len(commit.log)] != commit.log
            if start.view.epoch > commit.epoch and lost:
                raise BrokenInvariantError(f"{commit} is not in the log of the later view {start}")


def successors(world: World) -> Iterator[World]:
    """Yield every state that is one step away."""
    for index in range(len(CORES)):
        for step in STEPS:
            yield from step(world, index)
        for message in world.messages:
            reaction = _handle_message(index, world.members[index], message)
            if reaction is not None and _changes(world, index, *reaction):
                yield _with(world, index, *reaction)


def _changes(world: World, index: int, member: Member, sent: Iterable[Message]) -> bool:
    return member != world.members[index] or not world.messages.issuperset(sent)


def _with(
    world: World, index: int, member: Member, sent: Iterable[Message] = (), **changes: object
) -> World:
    members = list(world.members)
    members[index] = member
    messages = world.messages.union(sent)
    return attrs.evolve(world, members=tuple(members), messages=messages, **changes)


def _spend(world: World, name: str) -> Budget:
    return attrs.evolve(world.budget, **{name: getattr(world.budget, name) - 1})


def _last(log: Log) -> Position:
    return Position(log[-1] if log else 0, len(log))


def _propose(world: World, index: int) -> Iterator[World]:
    member = world.members[index]
    state = member.state
    eligible = state.voting and state.view is not None and state.view.has(state.own)
    if world.budget.proposals and eligible and not member.round_epoch:
        used = [m.epoch for m in world.messages if isinstance(m, Prepare)]
        after = max([state.promised_epoch, *(e for e in used if e % 3 == index)])
        epoch = witness_rules.next_epoch(after, index)
        changed = attrs.evolve(member, round_epoch=epoch, proposed=False)
        budget = _spend(world, "proposals")
        yield _with(world, index, changed, [Prepare(epoch, state.own)], budget=budget)


def _promise_own(world: World, index: int) -> Iterator[World]:
    member = world.members[index]
    epoch = member.round_epoch
    if not epoch or member.state.promised_epoch >= epoch:
        return
    if any(isinstance(m, Promised) and m.epoch == epoch for m in world.messages):
        state = witness_rules.promise(member.state, epoch, member.state.own)
        if state is not None:
            promised = Promised(epoch, Promise(state.own, state.view, _last(member.log)))
            yield _with(world, index, attrs.evolve(member, state=state), [promised])


def _send_accept(world: World, index: int) -> Iterator[World]:
    member = world.members[index]
    epoch = member.round_epoch
    if not epoch or member.proposed or member.state.promised_epoch != epoch:
        return
    promises = [m.promise for m in world.messages if isinstance(m, Promised) and m.epoch == epoch]
    own = [promise for promise in promises if promise.voter == member.state.own]
    others = sorted((p for p in promises if p.voter.core_id != CORES[index]), key=_by_voter)
    if not own:
        return
    for count in range(1, len(others) + 1):
        for group in combinations(others, count):
            yield from _accept_with(world, index, own[0], list(group))


def _by_voter(promise: Promise) -> MemberDisk:
    return promise.voter


def _accept_with(world: World, index: int, own: Promise, group: list[Promise]) -> Iterator[World]:
    member = world.members[index]
    view = witness_rules.choose_view(member.round_epoch, own, group)
    if view is None:
        return
    voters = (own.voter, *(promise.voter for promise in group))
    state = witness_rules.accept(member.state, own.voter, view, voters)
    if state is None:
        return
    sent = [Accept(own.voter, view, voters), Accepted(view.epoch, own.voter)]
    yield _with(world, index, attrs.evolve(member, state=state, proposed=True), sent)


def _lead(world: World, index: int) -> Iterator[World]:
    member = world.members[index]
    epoch = member.round_epoch
    if not epoch or not member.proposed or member.state.accepted_epoch != epoch:
        return
    voters = {
        m.voter.core_id for m in world.messages if isinstance(m, Accepted) and m.epoch == epoch
    }
    if len(voters) >= 2:
        view = member.state.view
        changed = attrs.evolve(member, round_epoch=0, proposed=False, leading=view, verified=epoch)
        start = StartView(member.state.view, member.log)
        appends = [Append(epoch, member.log[: n + 1]) for n in range(len(member.log))]
        chosen = world.chosen | {start}
        yield _with(world, index, changed, [start, *appends], chosen=chosen)


def _abandon(world: World, index: int) -> Iterator[World]:
    """End a proposal without a result; its messages stay in the network."""
    member = world.members[index]
    if member.round_epoch:
        yield _with(world, index, attrs.evolve(member, round_epoch=0, proposed=False))


def may_lead_append(member: Member) -> bool:
    """Mirrors the epoch check of ``Primary.may_append``."""
    return member.state.promised_epoch == member.leading.epoch


def may_commit(member: Member) -> bool:
    """Mirrors the epoch check of ``Primary._may_commit``."""
    return member.state.accepted_epoch == member.leading.epoch


def _append(world: World, index: int) -> Iterator[World]:
    member = world.members[index]
    if not world.budget.appends or member.leading is None or member.round_epoch:
        return
    if may_lead_append(member) and len(member.leading.in_sync) >= 2:
        epoch = member.leading.epoch
        log = (*member.log, epoch)
        budget = _spend(world, "appends")
        changed = attrs.evolve(member, log=log)
        yield _with(world, index, changed, [Append(epoch, log)], budget=budget)


def _commit(world: World, index: int) -> Iterator[World]:
    member = world.members[index]
    if member.leading is None or not may_commit(member) or not member.log:
        return
    epoch = member.leading.epoch
    others = [disk for disk in member.leading.in_sync if disk != member.state.own]
    if not others:
        return
    reached = dict.fromkeys(others, 0)
    for message in world.messages:
        if isinstance(message, Appended) and message.epoch == epoch and message.member in reached:
            reached[message.member] = max(reached[message.member], message.length)
    length = min([len(member.log), *reached.values()])
    commit = Commit(epoch, member.log[:length])
    if length and commit not in world.commits:
        yield attrs.evolve(world, commits=world.commits | {commit})


def _crash(world: World, index: int) -> Iterator[World]:
    if world.budget.crashes:
        member = world.members[index]
        changed = Member(member.state, member.log)
        if changed != member:
            yield _with(world, index, changed, budget=_spend(world, "crashes"))


def _lose_disk(world: World, index: int) -> Iterator[World]:
    if world.budget.lost_disks:
        budget = _spend(world, "lost_disks")
        disk = MemberDisk(CORES[index], f"{CORES[index]}{9 - budget.lost_disks}")
        yield _with(world, index, Member(WitnessState(disk)), budget=budget)


def _read_epochs(world: World, index: int) -> Iterator[World]:
    """Read another witness: it registers the new disk and answers with its state."""
    reader = world.members[index].state
    if reader.voting:
        return
    for other, answering in enumerate(world.members):
        if other != index and answering.state.voting:
            state = witness_rules.register_disk(answering.state, reader.own)
            if state is not None:
                answer = ReadAnswer(reader.own, state)
                yield _with(world, other, attrs.evolve(answering, state=state), [answer])


def _recover(world: World, index: int) -> Iterator[World]:
    member = world.members[index]
    if member.state.voting:
        return
    answers = [
        m.state
        for m in world.messages
        if isinstance(m, ReadAnswer) and m.reader == member.state.own
    ]
    for pair in combinations(answers, 2):
        if pair[0].own.core_id != pair[1].own.core_id:
            state = witness_rules.recover_vote(member.state, pair)
            if state is not None:
                yield _with(world, index, attrs.evolve(member, state=state))


STEPS: tuple[Callable[[World, int], Iterator[World]], ...] = (
    _propose,
    _promise_own,
    _send_accept,
    _lead,
    _abandon,
    _append,
    _commit,
    _crash,
    _lose_disk,
    _read_epochs,
    _recover,
)


Reaction = tuple[Member, tuple[Message, ...]]


@cache
def _handle_message(index: int, member: Member, message: Message) -> Reaction | None:
    """Return the member after handling the message and what it sends, None if it ignores it."""
    if isinstance(message, Prepare):
        return _on_prepare(index, member, message)
    if isinstance(message, Accept):
        return _on_accept(index, member, message)
    if isinstance(message, StartView):
        return _on_start_view(index, member, message)
    if isinstance(message, Append):
        return _on_append(member, message)
    return None


def _on_prepare(index: int, member: Member, message: Prepare) -> Reaction | None:
    if message.proposer.core_id == CORES[index]:
        return None
    state = witness_rules.promise(member.state, message.epoch, message.proposer)
    if state is None:
        return None
    promised = Promised(message.epoch, Promise(state.own, state.view, _last(member.log)))
    return attrs.evolve(member, state=state), (promised,)


def _on_accept(index: int, member: Member, message: Accept) -> Reaction | None:
    if message.proposer.core_id == CORES[index]:
        return None
    state = witness_rules.accept(member.state, message.proposer, message.view, message.voters)
    if state is None:
        return None
    return attrs.evolve(member, state=state), (Accepted(message.view.epoch, state.own),)


def _on_start_view(index: int, member: Member, message: StartView) -> Reaction | None:
    epoch = message.view.epoch
    state = witness_rules.learn_view(member.state, message.view)
    if state is None or message.view.primary_id == CORES[index]:
        return None
    log = member.log
    if not may_skip_comparison(member, epoch):
        log = log[: _matched(log, message.log)]
    return Member(state, log, verified=epoch), (Appended(epoch, state.own, len(log)),)


def may_skip_comparison(member: Member, epoch: int) -> bool:
    """Mirrors ``Backup._match_log``: entries of the view's own epoch are never truncated."""
    return member.verified == epoch or _last(member.log).epoch == epoch


def _matched(log: Log, other: Log) -> int:
    length = min(len(log), len(other))
    while length and log[length - 1] != other[length - 1]:
        length -= 1
    return length


def may_append(member: Member, epoch: int) -> bool:
    """Mirrors the epoch check of ``Backup.on_append``."""
    return epoch >= member.state.promised_epoch and member.verified == epoch


def _on_append(member: Member, message: Append) -> Reaction | None:
    leads = member.leading is not None and member.leading.epoch == message.epoch
    if leads or not may_append(member, message.epoch):
        return None
    before = len(message.log) - 1
    if len(member.log) < before or _last(member.log[:before]) != _last(message.log[:before]):
        return None
    log = message.log if len(member.log) == before else member.log
    sent = (Appended(message.epoch, member.state.own, len(log)),)
    return attrs.evolve(member, log=log), sent


STARTS = {
    "first": first_world,
    "failover": world_after_failover,
    "half": world_after_partial_view_change,
}


def main() -> None:
    """Explore with larger budgets than the tests do, and print the counts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("start", choices=sorted(STARTS))
    for name in ("proposals", "appends", "crashes", "lost_disks"):
        parser.add_argument(name, type=int)
    parser.add_argument("--limit", type=int, default=1_000_000)
    options = parser.parse_args()
    budget = Budget(options.proposals, options.appends, options.crashes, options.lost_disks)
    print(budget, explore(STARTS[options.start](budget), options.limit))


if __name__ == "__main__":
    main()
