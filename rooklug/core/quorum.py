"""Quorums: how many votes a decision requires."""

from collections.abc import Iterable, Set


def majority(count: int) -> int:
    """Return the smallest number that is more than half of ``count``."""
    return count // 2 + 1


def is_majority(votes: Set[str], members: Set[str]) -> bool:
    """Return whether more than half of ``members`` are among ``votes``."""
    return len(votes & members) >= majority(len(members))


def has_quorum(votes: Set[str], electorates: Iterable[Set[str]]) -> bool:
    """Return whether the votes are a majority in every one of the electorates."""
    return all(is_majority(votes, members) for members in electorates)


def readers_needed(count: int) -> int:
    """Return how many other members a member with a lost disk must read before it votes.

    Any majority that the lost disk was part of has another member among that many others, so
    the reader learns of every view that was chosen with the lost vote. With three members it
    must read both others.
    """
    return count - majority(count) + 1
