"""Builds a core's replication status, as shown by ``rooklug ctl status``."""

import attrs

from rooklug.core.announcer import Announcer
from rooklug.core.formation import FORMING, Formation
from rooklug.core.peers import Peers
from rooklug.core.primary import Primary
from rooklug.core.store import ReplicaStore
from rooklug.core.view_change import ViewChanger
from rooklug.core.witness import Witness
from rooklug.wire.generated.control.ttypes import CoreStatus

BOTH_BLANK = "both other disks are blank: nothing starts by itself, run the runbook recover-cores"


@attrs.frozen
class StatusSources:
    """The modules of a core from which its status is built.

    ``failure`` is the reason why the core has stopped participating, "" while it participates.
    """

    peers: Peers
    witness: Witness
    store: ReplicaStore
    primary: Primary
    view_changer: ViewChanger
    formation: Formation
    announcer: Announcer
    failure: str


def core_status(sources: StatusSources, now: float) -> CoreStatus:
    """Return the current status, as far as this core knows."""
    state = sources.witness.state
    in_sync = state.view.in_sync if state.view else ()
    return CoreStatus(
        node_id=sources.peers.own_id,
        phase=_phase(sources, now),
        epoch=state.promised_epoch,
        primary_id=sources.announcer.primary_id,
        in_sync=[disk.core_id for disk in in_sync],
        committed_sequence=sources.store.committed,
        configuration_version=sources.store.state.version,
        note=_operator_note(sources),
    )


def _phase(sources: StatusSources, now: float) -> str:
    state = sources.witness.state
    if sources.failure:
        return "failed"
    if not state.voting:
        return "blank"
    if sources.primary.may_serve(now):
        return "primary"
    return "backup" if state.view and state.view.has(state.own) else "joining"


def _operator_note(sources: StatusSources) -> str:
    """Return the operator's note: why this core isn't working normally, "" if it is."""
    if sources.failure:
        return sources.failure
    if not sources.witness.state.voting:
        return sources.formation.waiting_reason
    if sources.witness.state.view is None:
        return FORMING
    no_primary = not sources.announcer.primary_id
    blank_others = sources.view_changer.blank_others
    if no_primary and len(blank_others) == len(sources.peers.others):
        return BOTH_BLANK
    return ""
