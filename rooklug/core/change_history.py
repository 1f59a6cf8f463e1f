"""Identities of accepted changes: committed ones, and appended ones that may still commit.

Makes operators' requests idempotent: a repeated request gets the answer of the first one.
"""

from collections.abc import Iterable
from enum import Enum

import attrs

from rooklug.core.control_state import ControlState
from rooklug.wire.generated.core.ttypes import ConfigurationChange, LogEntry, ZoneChange

ALREADY_COMMITTED = 0
"""The sequence that a classification depends on if it needs no uncommitted entry."""


class Verdict(Enum):
    """How a submitted change relates to those accepted before it."""

    FRESH = "its identity is new"
    REPEATED = "the same change was taken already"
    CONFLICT = "another change has its identity, or a newer version exists"


@attrs.frozen
class Classification:
    """A verdict that holds once the entry with the sequence ``depends_on`` is committed."""

    verdict: Verdict
    depends_on: int = ALREADY_COMMITTED


@attrs.frozen
class PendingChange:
    """A change that is appended but not committed, and the sequence of its log entry."""

    change: ConfigurationChange
    sequence: int


@attrs.frozen
class PendingZone:
    """A zone order that is appended but not committed, and the sequence of its log entry."""

    change: ZoneChange
    sequence: int


class ChangeHistory:
    """Classifies requests by identity.

    The identity of a change is its version and digest, that of a zone order its operation id.
    """

    def __init__(self, state: ControlState, uncommitted: Iterable[LogEntry]) -> None:
        self._state = state
        self._changes: dict[int, PendingChange] = {}
        self._zones: dict[str, PendingZone] = {}
        self._newest: PendingChange | None = None
        for entry in uncommitted:
            self.add(entry)

    def add(self, entry: LogEntry) -> None:
        """Record an entry that was appended to the log."""
        if entry.configuration is not None:
            self._newest = PendingChange(entry.configuration, entry.sequence)
            self._changes[entry.configuration.version] = self._newest
        if entry.zone is not None:
            self._zones[entry.zone.operation_id] = PendingZone(entry.zone, entry.sequence)

    def forget_committed(self, committed: int) -> None:
        """Drop the entries up to ``committed``: the committed state has their identities."""
        self._changes = {v: p for v, p in self._changes.items() if p.sequence > committed}
        self._zones = {i: p for i, p in self._zones.items() if p.sequence > committed}
        if self._newest is not None and self._newest.sequence <= committed:
            self._newest = None

    @property
    def newest(self) -> ConfigurationChange | None:
        """The newest accepted change, committed or not."""
        return self._newest.change if self._newest else self._state.configuration

    def classify_change(
        self, version: int, digest: str, base_version: int | None
    ) -> Classification:
        """Classify a change; ``base_version`` is None if it doesn't depend on the newest one."""
        pending = self._changes.get(version)
        if pending is not None:
            return _repeat_or_conflict(
                is_same=pending.change.digest == digest, depends_on=pending.sequence
            )
        committed = self._state.changes.get(version)
        if committed is not None:
            return _repeat_or_conflict(
                is_same=committed.hex() == digest, depends_on=ALREADY_COMMITTED
            )
        newest_version = self.newest.version if self.newest else 0
        outdated = base_version is not None and base_version != newest_version
        if version <= newest_version or outdated:
            depends_on = self._newest.sequence if self._newest else ALREADY_COMMITTED
            return Classification(Verdict.CONFLICT, depends_on)
        return Classification(Verdict.FRESH)

    def classify_zone(self, change: ZoneChange) -> Classification:
        """Classify a zone order; an operation id that another order has used is a conflict."""
        pending = self._zones.get(change.operation_id)
        if pending is not None:
            return _repeat_or_conflict(
                is_same=pending.change == change, depends_on=pending.sequence
            )
        committed = self._state.operations.get(change.operation_id)
        if committed is not None:
            return _repeat_or_conflict(is_same=committed == change, depends_on=ALREADY_COMMITTED)
        return Classification(Verdict.FRESH)


def _repeat_or_conflict(*, is_same: bool, depends_on: int) -> Classification:
    return Classification(Verdict.REPEATED if is_same else Verdict.CONFLICT, depends_on)
