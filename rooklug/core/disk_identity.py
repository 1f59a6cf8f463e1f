"""Checks at startup whether a core may trust its disk; else the disk counts as a new one."""

import attrs

from rooklug.core.constants import WITNESS_FILE
from rooklug.core.records import witness_from_wire
from rooklug.core.types import MemberDisk, WitnessState
from rooklug.engine.events import Started
from rooklug.storage.folder import PROBLEM_DAMAGED
from rooklug.wire.codec import decode
from rooklug.wire.generated.core.ttypes import WitnessRecord


@attrs.frozen
class DiskCheck:
    """The witness state found on disk, or None and the reason why it can't be trusted.

    ``is_blank`` says that the disk holds nothing at all: no records, and no damaged ones.
    """

    witness: WitnessState | None
    reason: str
    is_blank: bool = False


def check_disk(event: Started, core_id: str) -> DiskCheck:
    """Return the last witness record if the disk is intact and belongs to this core."""
    records = event.records.get(WITNESS_FILE, ())
    is_damaged = event.disk_problem.startswith(PROBLEM_DAMAGED)
    if not records and not is_damaged:
        return DiskCheck(None, "the disk is blank", is_blank=not any(event.records.values()))
    if event.disk_problem:
        return DiskCheck(None, f"the disk is damaged: {event.disk_problem}")
    decoded = decode(WitnessRecord, records[-1])
    if decoded.is_error():
        return DiskCheck(None, f"the witness record is damaged: {decoded.error.message}")
    state = witness_from_wire(decoded.ok)
    if state.own.core_id != core_id:
        return DiskCheck(None, f"the disk belongs to {state.own.core_id}")
    if state.folder_identity != event.disk_identity:
        return DiskCheck(None, "the witness record comes from another folder")
    return DiskCheck(state, "")


def new_incarnation(core_id: str, event: Started, incarnation: str) -> MemberDisk:
    """Return the identity of a disk's new incarnation.

    It contains ``incarnation``, the id of this process start, so that it is never reused.
    """
    return MemberDisk(core_id, f"{event.disk_identity}:{incarnation}")
