"""Identities of changes that were taken: committed ones, and appended ones that may yet commit.

It makes operators' requests idempotent: the same request again gets the first answer again.
"""

from collections.abc import Iterable
from enum import Enum

import attrs

from rooklug.core.control_state import ControlState
from rooklug.wire.generated.core.ttypes import ConfigurationChange, LogEntry, ZoneChange

ALREADY_COMMITTED = 0
"""The sequence that a classification depends on when no entry is open."""


class Verdict(Enum):
    """What is known of a submitted change."""

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
    """An appended change and its sequence."""

    change: ConfigurationChange
    sequence: int


@attrs.frozen
class PendingZone:
    """An appended zone order and its sequence."""

    change: ZoneChange
    sequence: int


class ChangeHistory:
    """Classifies by identity: (version, digest) of a change, the operation id of a zone order."""

    def __init__(self, state: ControlState, uncommitted: Iterable[LogEntry]) -> None:
        self._state = state
        self._changes: dict[int, PendingChange] = {}
        self._zones: dict[str, PendingZone] = {}
        self._newest: PendingChange | None = None
        for entry in uncommitted:
            self.add(entry)

    def add(self, entry: LogEntry) -> None:
        """Add an appended entry."""
        if entry.configuration is not None:
            self._newest = PendingChange(entry.configuration, entry.sequence)
            self._changes[entry.configuration.version] = self._newest
        if entry.zone is not None:
            self._zones[entry.zone.operation_id] = PendingZone(entry.zone, entry.sequence)

    def forget_committed(self, committed: int) -> None:
        """Drop entries that the committed state covers."""
        self._changes = {v: p for v, p in self._changes.items() if p.sequence > committed}
        self._zones = {i: p for i, p in self._zones.items() if p.sequence > committed}
        if self._newest is not None and self._newest.sequence <= committed:
            self._newest = None

    @property
    def newest(self) -> ConfigurationChange | None:
        """The newest change taken, committed or not."""
        return self._newest.change if self._newest else self._state.configuration

    def classify_change(
        self, version: int, digest: str, base_version: int | None
    ) -> Classification:
        """Classify a change; ``base_version`` is None for a complete document."""
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
        """Classify a zone order; an id that was used for another order is a conflict."""
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
