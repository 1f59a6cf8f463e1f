"""The states that the exploration of the first view goes through: cores, disks and messages."""

from enum import Enum
from functools import cache

import attrs

from rooklug.core import quorum
from rooklug.core.group_reports import GroupPast
from rooklug.core.types import CoreMember, MemberDisk, Position, Promise, View, WitnessState

START = Position(0, 0)


class Life(Enum):
    """Whether a core runs, and whether its disk records the group's first start."""

    BEFORE_START = "has not started yet"
    RUNS = "runs"
    GONE = "the machine is lost for good"


@attrs.frozen(cache_hash=True)
class Prepare:
    epoch: int
    proposer: MemberDisk


@attrs.frozen(cache_hash=True)
class Promised:
    epoch: int
    proposer: MemberDisk
    promise: Promise


@attrs.frozen(cache_hash=True)
class Accept:
    """``root`` is the epoch of the first view that the proposed one descends from."""

    proposer: MemberDisk
    view: View
    voters: tuple[MemberDisk, ...]
    root: int


@attrs.frozen(cache_hash=True)
class Accepted:
    epoch: int
    root: int
    voter: MemberDisk


@attrs.frozen(cache_hash=True)
class ReadAnswer:
    reader: MemberDisk
    state: WitnessState
    past: GroupPast


Message = Prepare | Promised | Accept | Accepted | ReadAnswer


@attrs.frozen(cache_hash=True)
class Core:
    """A founder: its disk (``state``), and the rest, which a crash resets.

    ``epoch`` is the epoch that it proposes, ``past`` what nodes have reported to it, and
    ``is_told_start`` whether one that was started with the group has heard of no primary.
    """

    state: WitnessState
    life: Life = Life.BEFORE_START
    epoch: int = 0
    past: GroupPast = GroupPast.NO_PRIMARY_REPORTED
    is_told_start: bool = False


@attrs.frozen(cache_hash=True)
class Budget:
    """How many more events of each kind may happen."""

    proposals: int = 2
    early_kills: int = 0
    lost_disks: int = 0
    lost_machines: int = 0
    start_reports: int = 0


@attrs.frozen(cache_hash=True)
class World:
    cores: tuple[Core, ...]
    budget: Budget
    messages: frozenset[Message] = frozenset()
    roots: frozenset[tuple[int, int]] = frozenset()  # (view's epoch, root) of the views proposed
    nodes_report: bool = False

    def started(self, state: WitnessState) -> Core:
        """Return a process that was just started; without reports it has nothing to listen to."""
        listening = GroupPast.LISTENING if self.nodes_report else GroupPast.NO_PRIMARY_REPORTED
        return Core(state, Life.RUNS, past=listening)


def first_world(count: int, budget: Budget) -> World:
    """No core has started, and all disks are blank; nodes report if the budget has reports."""
    ids = [chr(ord("a") + number) for number in range(count)]
    cores = tuple(Core(WitnessState(MemberDisk(i, f"{i}1"))) for i in ids)
    return World(cores, budget, nodes_report=bool(budget.start_reports))


def founders_of(world: World) -> tuple[CoreMember, ...]:
    """Return all cores as founders."""
    ids = [core.state.own.core_id for core in world.cores]
    return tuple(CoreMember(core_id, f"{core_id}:1") for core_id in ids)


def in_order(messages: frozenset[Message]) -> list[Message]:
    """Return the messages in an order that is the same in every run."""
    return sorted(messages, key=_text)


@cache
def _text(message: Message) -> str:
    return repr(message)


def chosen_roots(world: World) -> set[int]:
    """Return the first views from which those descend that a majority has accepted."""
    voters: dict[tuple[int, int], set[str]] = {}
    for message in world.messages:
        if isinstance(message, Accepted):
            key = (message.epoch, message.root)
            voters.setdefault(key, set()).add(message.voter.core_id)
    needed = quorum.majority(len(world.cores))
    return {root for (_, root), ids in voters.items() if len(ids) >= needed}
