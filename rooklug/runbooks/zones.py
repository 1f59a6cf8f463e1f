"""Runbooks: drain a zone and restore it."""

from collections.abc import Callable

from rooklug.cli.operator_requests import zone_order
from rooklug.runbooks.findings import on_status, ordering
from rooklug.runbooks.model import Finding, Parameter, Runbook, Step
from rooklug.runbooks.site import Site, SiteStatus

_ZONE = (Parameter("zone", "name of the zone"),)


async def _plan_empty(_site: Site, values: dict[str, str]) -> list[Step]:
    zone = values["zone"]
    return [
        Step(
            title=f"tell the site that zone {zone} is emptied",
            check=on_status(lambda status: _others_can_serve(status, zone)),
            act=ordering(zone_order(zone, "empty")),
            verify=on_status(lambda status: _is_drained(status, zone)),
            undo=f"rooklug runbook run restore-zone zone={zone}",
        ),
        Step(
            title=f"the fronts of zone {zone} take no new requests",
            verify=on_status(lambda status: _check_readiness(status, zone, ready=False)),
            undo=f"rooklug runbook run restore-zone zone={zone}",
            verify_limit_s=15.0,
        ),
    ]


async def _plan_restore(_site: Site, values: dict[str, str]) -> list[Step]:
    zone = values["zone"]
    return [
        Step(
            title=f"the machines of zone {zone} are back",
            by_hand=f"start the nodes of zone {zone}",
            verify=on_status(lambda status: _has_fronts(status, zone)),
            undo=f"leave the zone emptied; stop the nodes of zone {zone} again",
            verify_limit_s=600.0,
        ),
        Step(
            title=f"tell the site that zone {zone} serves again",
            check=on_status(lambda status: _has_fronts(status, zone)),
            act=ordering(zone_order(zone, "restore")),
            verify=on_status(lambda status: _is_restored(status, zone)),
            undo=f"rooklug runbook run empty-zone zone={zone}",
        ),
        Step(
            title=f"the fronts of zone {zone} are ready",
            verify=on_status(lambda status: _check_readiness(status, zone, ready=True)),
            undo=f"rooklug runbook run empty-zone zone={zone}",
        ),
    ]


def _others_can_serve(status: SiteStatus, zone: str) -> Finding:
    if status.primary_core() is None:
        return Finding.failed("there is no primary core")
    elsewhere = sorted({n.zone for n in status.fronts() if n.ready and n.zone != zone})
    text = f"zones with ready fronts besides {zone}: {', '.join(elsewhere) or 'none'}"
    return Finding(bool(elsewhere), text)


def _is_drained(status: SiteStatus, zone: str) -> Finding:
    return _check_drained_zones(status, lambda zones: zone in zones)


def _is_restored(status: SiteStatus, zone: str) -> Finding:
    return _check_drained_zones(status, lambda zones: zone not in zones)


def _check_drained_zones(
    status: SiteStatus, condition: Callable[[tuple[str, ...]], bool]
) -> Finding:
    if status.drained_zones is None:
        return Finding.failed("no primary core tells the emptied zones")
    text = f"emptied zones: {', '.join(status.drained_zones) or 'none'}"
    return Finding(condition(status.drained_zones), text)


def _has_fronts(status: SiteStatus, zone: str) -> Finding:
    fronts = [node.node_id for node in status.fronts() if node.zone == zone]
    return Finding(bool(fronts), f"live fronts of {zone}: {', '.join(fronts) or 'none'}")


def _check_readiness(status: SiteStatus, zone: str, *, ready: bool) -> Finding:
    wrong = [n.node_id for n in status.fronts() if n.zone == zone and n.ready is not ready]
    state = "not ready" if ready else "still ready"
    return Finding(not wrong, f"fronts of {zone} {state}: {', '.join(wrong) or 'none'}")


EMPTY_ZONE = Runbook(
    name="empty-zone",
    title="Empty a zone",
    when="A zone's machines must stop, at short notice or for work on them.",
    plan=_plan_empty,
    parameters=_ZONE,
)
RESTORE_ZONE = Runbook(
    name="restore-zone",
    title="Take a zone back",
    when="The machines of an emptied zone run again.",
    plan=_plan_restore,
    parameters=_ZONE,
)
