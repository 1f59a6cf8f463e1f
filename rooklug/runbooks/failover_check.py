"""Runbook: stop the primary core and verify that another core takes over."""

from rooklug.cli.operator_requests import NEWEST_CONFIGURATION
from rooklug.runbooks.findings import core_in_sync, on_status
from rooklug.runbooks.model import Finding, Runbook, Step
from rooklug.runbooks.site import CoreView, Site, SiteStatus

_CORES = 3


async def _plan(site: Site, _values: dict[str, str]) -> list[Step]:
    status = await site.status()
    primary = status.ok.primary_core() if status.is_ok() else None
    if primary is None:
        return [_no_primary()]
    return [
        Step(
            title=f"stop the primary core {primary.node_id}; another one takes over",
            check=on_status(_all_in_sync),
            by_hand=f"end the process of core {primary.node_id} (SIGKILL shows most)",
            verify=on_status(lambda status: _has_new_primary(status, primary)),
            undo=f"start core {primary.node_id} again with its data folder",
            verify_limit_s=60.0,
        ),
        Step(
            title="the newest configuration is still there",
            verify=lambda site: _newest_is_stored(site, primary.configuration_version),
            undo=f"start core {primary.node_id} again, then compare `rooklug ctl get`",
        ),
        Step(
            title=f"core {primary.node_id} comes back and is in sync",
            by_hand=f"start core {primary.node_id} again with its data folder",
            verify=on_status(core_in_sync(primary.node_id)),
            undo="none is needed: two cores go on",
            verify_limit_s=300.0,
        ),
    ]


def _no_primary() -> Step:
    return Step(
        title="there is a primary core",
        by_hand="start the cores; see `rooklug ctl status` and the cores' logs",
        verify=on_status(lambda status: Finding(status.primary != "", "no primary core")),
        undo="nothing was done",
        verify_limit_s=0.0,
    )


def _all_in_sync(status: SiteStatus) -> Finding:
    primary = status.primary_core()
    in_sync = primary.in_sync if primary else ()
    return Finding(len(in_sync) == _CORES, f"in sync: {', '.join(in_sync) or 'none'}")


def _has_new_primary(status: SiteStatus, before: CoreView) -> Finding:
    now = status.primary_core()
    if now is None:
        return Finding.failed("there is no primary core yet")
    is_new = now.node_id != before.node_id and now.epoch > before.epoch
    return Finding(is_new, f"primary {now.node_id} in epoch {now.epoch}, before {before.epoch}")


async def _newest_is_stored(site: Site, version: int) -> Finding:
    answer = await site.order(NEWEST_CONFIGURATION)
    if answer.is_error():
        return Finding(version == 0, answer.error)
    found = int(answer.ok.headers.get("x-rooklug-version", "0"))
    return Finding(found >= version, f"version {found}, before {version}")


FAILOVER_CHECK = Runbook(
    name="failover-check",
    title="Check the failover of the cores",
    when="Regularly, and after any work on the core machines, at a quiet hour.",
    plan=_plan,
)
