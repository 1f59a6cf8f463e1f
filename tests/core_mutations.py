"""Mutations that disable one guard of the running cores each; the oracle must detect each one.

``test_core_exploration`` does the same for the guards of the view-change protocol.
"""

from typing import Any

import attrs

from rooklug.core.backup import Backup
from rooklug.core.change_history import ChangeHistory, Classification, Verdict
from rooklug.core.disk import Disk
from rooklug.core.primary import Primary
from rooklug.core.replicator import Replicator
from rooklug.core.store import ReplicaStore


@attrs.frozen
class Mutation:
    """A method, and the faulty function that replaces it."""

    owner: Any
    name: str
    replacement: Any


def _synced_on_own_disk(self: Replicator) -> int:
    return self._store.synced


def _accept_without_comparison(self: Backup, epoch: int, request: Any, now: float) -> bool:
    self.verified_epoch = epoch
    return True


def _active_without_lease(self: Primary, now: float) -> bool:
    return self.view is not None


def _classify_by_newest_version(
    self: ChangeHistory, version: int, digest: str, base_version: int | None
) -> Classification:
    newest = self.newest.version if self.newest else 0
    return Classification(Verdict.FRESH if version > newest else Verdict.CONFLICT)


def _continue_before_sync(self: Disk, now: float, then: Any) -> None:
    then(now)


def _written_counts_as_synced(
    self: ReplicaStore, entries: Any, now: float, then: Any = None
) -> None:
    _WRITE_ENTRIES(self, entries, now, then)
    self.synced = self.last.sequence


_WRITE_ENTRIES = ReplicaStore.write_entries

COMMIT_FROM_OWN_DISK = Mutation(Replicator, "acknowledged_by_all", _synced_on_own_disk)
SKIP_LOG_COMPARISON = Mutation(Backup, "_match_log", _accept_without_comparison)
IGNORE_LEASE = Mutation(Primary, "is_active", _active_without_lease)
KEEP_NEWEST_IDENTITY_ONLY = Mutation(ChangeHistory, "classify_change", _classify_by_newest_version)
ANSWER_BEFORE_SYNC = Mutation(Disk, "after_sync", _continue_before_sync)
COUNT_WRITTEN_AS_SYNCED = Mutation(ReplicaStore, "write_entries", _written_counts_as_synced)
