"""Exploration of how the founders form the first view, over the real ``witness_rules``.

Founders start for the first time, or are killed before they have recorded that; they propose,
promise, accept, crash, lose their disk, read each other and obtain a vote in any order. Messages
arrive late, several times or never. Nodes report: one that has been cut off since the first start
says so, and once a view was chosen another one has heard of its primary. The premise is that within
the time for which a core listens, each node that reports has reached a core that runs; the
invariant that all chosen views descend from one first view.
"""

import argparse
from collections.abc import Iterator
from itertools import product
from random import Random

import attrs

from tests.core_formation_steps import steps_of
from tests.core_formation_world import Budget, World, chosen_roots, first_world


class BrokenInvariantError(AssertionError):
    """Two views were chosen that descend from two first views."""


@attrs.frozen
class Exploration:
    """Counts of an exploration; ``formed`` says whether a view was ever chosen."""

    states: int
    complete: bool
    formed: bool


def check_invariant(world: World) -> None:
    roots = chosen_roots(world)
    if len(roots) > 1:
        raise BrokenInvariantError(f"views chosen from first views {sorted(roots)}")


def explore(start: World, limit: int) -> Exploration:
    """Visit all reachable states, up to ``limit``; raise ``BrokenInvariantError``."""
    seen, level, formed = {start}, [start], False
    while level and len(seen) < limit:
        following = []
        for world in level:
            for successor in successors(world):
                if successor not in seen:
                    check_invariant(successor)
                    formed = formed or bool(chosen_roots(successor))
                    seen.add(successor)
                    following.append(successor)
            if len(seen) >= limit:
                break
        level = following
    return Exploration(len(seen), not level, formed)


def walk(start: World, walks: int, steps: int, seed: int) -> int:
    """Check each state of random walks; return in how many of them a view was chosen."""
    random = Random(seed)
    formed = 0
    for _ in range(walks):
        world = start
        for _ in range(steps):
            step = random.choice(steps_of(world))
            following = [
                found
                for index in random.sample(range(len(world.cores)), len(world.cores))
                for found in step(world, index)
                if found != world
            ]
            if following:
                world = random.choice(following)
                check_invariant(world)
        formed += bool(chosen_roots(world))
    return formed


def successors(world: World) -> Iterator[World]:
    """Yield every state that is one step away."""
    for step, index in product(steps_of(world), range(len(world.cores))):
        for following in step(world, index):
            if following != world:
                yield following


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("cores", type=int)
    parser.add_argument("proposals", type=int)
    parser.add_argument("early_kills", type=int)
    parser.add_argument("lost_disks", type=int)
    parser.add_argument("lost_machines", type=int)
    parser.add_argument("start_reports", type=int, nargs="?", default=0)
    parser.add_argument("--limit", type=int, default=800_000)
    parser.add_argument("--walks", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    budget = Budget(
        options.proposals,
        options.early_kills,
        options.lost_disks,
        options.lost_machines,
        options.start_reports,
    )
    start = first_world(options.cores, budget)
    if options.walks:
        print(options, walk(start, options.walks, 150, options.seed), "walks formed a view")
    else:
        print(options, explore(start, options.limit))


if __name__ == "__main__":
    main()
