"""Outcomes of an attempt of a request at one replica."""

from enum import Enum


class AttemptOutcome(Enum):
    """How an attempt ended, as far as the replica is judged by it."""

    SUCCESS = "success"
    BUSY = "busy"
    NOT_LOADED = "not loaded"
    CONNECT_FAILED = "connect failed"
    RESET = "the connection ended before any answer"
    TIMED_OUT = "timed out"
    BROKEN = "broken"
    CANCELLED = "cancelled"
