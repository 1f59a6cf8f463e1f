"""Runbook: restart the fronts one by one, each only while all others are ready."""

from rooklug.runbooks.findings import on_status
from rooklug.runbooks.model import Finding, Runbook, Step
from rooklug.runbooks.site import NodeView, Site, SiteStatus


async def _plan(site: Site, _values: dict[str, str]) -> list[Step]:
    status = await site.status()
    if status.is_error():
        return [_no_status(status.error)]
    return [_restart(front) for front in status.ok.fronts()]


def _no_status(reason: str) -> Step:
    return Step(
        title="see the site",
        by_hand="name a front that answers with --node",
        verify=on_status(lambda status: Finding.passed("seen")),
        undo=f"nothing was done ({reason})",
        verify_limit_s=0.0,
    )


def _restart(front: NodeView) -> Step:
    return Step(
        title=f"restart front {front.node_id} in zone {front.zone}",
        check=on_status(lambda status: _others_ready(status, front.node_id)),
        by_hand=f"SIGTERM to front {front.node_id} (it drains, then ends), then start it again",
        verify=on_status(lambda status: _is_new_and_ready(status, front)),
        undo=f"start front {front.node_id} again with the program it had before",
        verify_limit_s=300.0,
    )


def _others_ready(status: SiteStatus, node_id: str) -> Finding:
    others = [node for node in status.fronts() if node.node_id != node_id]
    waiting = [
        node.node_id
        for node in others
        if not node.ready and node.zone not in (status.drained_zones or ())
    ]
    if waiting:
        return Finding.failed(f"not ready: {', '.join(waiting)}")
    return Finding(bool(others), f"{len(others)} other fronts, none that should be ready is not")


def _is_new_and_ready(status: SiteStatus, before: NodeView) -> Finding:
    now = status.node(before.node_id)
    if now is None:
        return Finding.failed(f"front {before.node_id} is not there")
    if now.incarnation == before.incarnation:
        return Finding.failed(f"front {before.node_id} was not restarted yet")
    ready = now.ready or now.zone in (status.drained_zones or ())
    return Finding(ready, f"front {before.node_id} is {'ready' if ready else 'not ready yet'}")


ROLL_FRONTS = Runbook(
    name="roll-fronts",
    title="Restart the fronts one by one",
    when="A new program or new settings are on the front machines.",
    plan=_plan,
)
