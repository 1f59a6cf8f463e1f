"""Runbook: replace a core's machine or disk that is lost."""

from rooklug.runbooks.findings import core_in_sync, in_sync_without, on_status
from rooklug.runbooks.model import Finding, Parameter, Runbook, Step
from rooklug.runbooks.site import Site, SiteStatus


async def _plan(_site: Site, values: dict[str, str]) -> list[Step]:
    core_id = values["core"]
    return [
        Step(
            title=f"stop what is left of core {core_id}",
            check=on_status(in_sync_without(core_id)),
            by_hand=f"end the process of core {core_id}, or cut the machine off",
            verify=on_status(lambda status: _is_out(status, core_id)),
            undo=f"start core {core_id} again with its old data folder",
        ),
        Step(
            title=f"start core {core_id} on a blank data folder",
            check=on_status(in_sync_without(core_id)),
            by_hand="on the new disk: same settings file, an empty data folder, "
            "`rooklug core --settings FILE`; keep the old folder aside",
            verify=on_status(lambda status: _answers(status, core_id)),
            undo=f"stop core {core_id} again; the other two go on",
            verify_limit_s=600.0,
        ),
        Step(
            title=f"core {core_id} copies the state and is in sync",
            verify=on_status(core_in_sync(core_id)),
            undo=f"stop core {core_id}; look at its log for the reason",
            verify_limit_s=120.0,
        ),
    ]


def _is_out(status: SiteStatus, core_id: str) -> Finding:
    primary = status.primary_core()
    if primary is None:
        return Finding.failed("there is no primary core")
    is_out = core_id not in primary.in_sync and status.core(core_id) is None
    return Finding(is_out, f"primary {primary.node_id}, in sync: {', '.join(primary.in_sync)}")


def _answers(status: SiteStatus, core_id: str) -> Finding:
    core = status.core(core_id)
    if core is None:
        return Finding.failed(f"core {core_id} doesn't answer yet")
    return Finding.passed(f"core {core_id} answers, phase {core.phase}")


LOST_DISK_MACHINE = Runbook(
    name="lost-disk-machine",
    title="Replace a lost disk machine",
    when="A core's machine or its disk is gone for good, and the other two cores are well. "
    "A core whose disk is whole just starts again: no runbook is needed.",
    plan=_plan,
    parameters=(Parameter("core", "id of the lost core"),),
)
