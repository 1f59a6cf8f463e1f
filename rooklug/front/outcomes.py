"""Outcomes of an attempt of a request at one replica, also used by ``rooklug.gateway``."""

from enum import Enum


class AttemptOutcome(Enum):
    """How an attempt ended, as far as it matters for the replica's health and limits."""

    SUCCESS = "success"
    BUSY = "busy"
    NOT_LOADED = "not loaded"
    CONNECT_FAILED = "connect failed"
    RESET = "the connection ended before any answer"
    TIMED_OUT = "timed out"
    BROKEN = "broken"
    CANCELLED = "cancelled"
