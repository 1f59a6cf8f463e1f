"""One core's replication status, for ``rooklug ctl status``."""

from typing import TYPE_CHECKING

from rooklug.wire.generated.control.ttypes import CoreStatus

if TYPE_CHECKING:
    from rooklug.core.node import ControlStateComponent

BOTH_BLANK = "both other disks are blank: nothing starts by itself, run the runbook recover-cores"


def core_status(component: "ControlStateComponent", now: float) -> CoreStatus:
    """Return the status as this core sees it."""
    state = component.witness.state
    in_sync = state.view.in_sync if state.view else ()
    return CoreStatus(
        node_id=component.peers.own_id,
        phase=_phase(component, now),
        epoch=state.promised_epoch,
        primary_id=component.announcer.primary_id,
        in_sync=[disk.core_id for disk in in_sync],
        committed_sequence=component.store.committed,
        configuration_version=component.store.state.version,
        note=_note(component),
    )


def _phase(component: "ControlStateComponent", now: float) -> str:
    state = component.witness.state
    if component.failure:
        return "failed"
    if not state.voting:
        return "blank"
    if component.leader.may_serve(now):
        return "primary"
    return "backup" if state.view and state.view.has(state.own) else "joining"


def _note(component: "ControlStateComponent") -> str:
    if component.failure:
        return component.failure
    if not component.witness.state.voting:
        return component.formation.note
    led = component.announcer.primary_id
    if not led and len(component.changer.blank_others) == len(component.peers.others):
        return BOTH_BLANK
    return ""
