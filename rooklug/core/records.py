"""Conversion between the values of ``types`` and thrift structs."""

from rooklug.core.types import (
    CoreMember,
    EpochRun,
    MemberDisk,
    Position,
    Promise,
    View,
    WitnessState,
)
from rooklug.wire.generated.core import ttypes as wire


def disk_to_wire(disk: MemberDisk) -> wire.MemberDisk:
    """Encode a member's disk."""
    return wire.MemberDisk(core_id=disk.core_id, disk_id=disk.disk_id)


def disk_from_wire(disk: wire.MemberDisk) -> MemberDisk:
    """Decode a member's disk."""
    return MemberDisk(disk.core_id, disk.disk_id)


def position_to_wire(position: Position) -> wire.LogPosition:
    """Encode a log position."""
    return wire.LogPosition(epoch=position.epoch, sequence=position.sequence)


def position_from_wire(position: wire.LogPosition) -> Position:
    """Decode a log position."""
    return Position(position.epoch, position.sequence)


def member_to_wire(member: CoreMember) -> wire.CoreMember:
    """Encode a voting core."""
    return wire.CoreMember(core_id=member.core_id, address=member.address)


def member_from_wire(member: wire.CoreMember) -> CoreMember:
    """Decode a voting core."""
    return CoreMember(member.core_id, member.address)


def view_to_wire(view: View) -> wire.View:
    """Encode a view; empty ``members`` and ``previous`` are left unset."""
    return wire.View(
        epoch=view.epoch,
        primary_id=view.primary_id,
        in_sync=[disk_to_wire(disk) for disk in view.in_sync],
        members=[member_to_wire(member) for member in view.members] or None,
        previous=[member_to_wire(member) for member in view.previous] or None,
    )


def view_from_wire(view: wire.View) -> View:
    """Decode a view."""
    in_sync = tuple(disk_from_wire(disk) for disk in view.in_sync)
    members = tuple(member_from_wire(member) for member in view.members or ())
    previous = tuple(member_from_wire(member) for member in view.previous or ())
    return View(view.epoch, view.primary_id, in_sync, members, previous)


def runs_to_wire(runs: list[EpochRun]) -> list[wire.EpochRun]:
    """Encode the run-length encoded epochs of a log."""
    return [wire.EpochRun(epoch=run.epoch, first_sequence=run.first_sequence) for run in runs]


def runs_from_wire(runs: list[wire.EpochRun]) -> list[EpochRun]:
    """Decode the run-length encoded epochs of a log."""
    return [EpochRun(run.epoch, run.first_sequence) for run in runs]


def witness_to_wire(state: WitnessState) -> wire.WitnessRecord:
    """Encode a witness's durable state, for its file or an answer."""
    return wire.WitnessRecord(
        own=disk_to_wire(state.own),
        folder_identity=state.folder_identity,
        voting=state.voting,
        promised_epoch=state.promised_epoch,
        promised_to=disk_to_wire(state.promised_to) if state.promised_to else None,
        view=view_to_wire(state.view) if state.view else None,
        disks=[disk_to_wire(disk) for disk in state.disks],
        retired=list(state.retired),
        founders=[member_to_wire(member) for member in state.founders] or None,
    )


def witness_from_wire(record: wire.WitnessRecord) -> WitnessState:
    """Decode a witness's durable state."""
    return WitnessState(
        own=disk_from_wire(record.own),
        folder_identity=record.folder_identity,
        voting=record.voting,
        promised_epoch=record.promised_epoch,
        promised_to=disk_from_wire(record.promised_to) if record.promised_to else None,
        view=view_from_wire(record.view) if record.view else None,
        disks=tuple(disk_from_wire(disk) for disk in record.disks),
        retired=tuple(record.retired),
        founders=tuple(member_from_wire(member) for member in record.founders or ()),
    )


def promise_from_wire(answer: wire.PrepareAnswer) -> Promise:
    """Decode the promise in an answer with ``granted`` set."""
    view = view_from_wire(answer.view) if answer.view else None
    return Promise(disk_from_wire(answer.voter), view, position_from_wire(answer.last))
