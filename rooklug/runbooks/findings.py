"""Checks and actions that several runbooks share."""

from collections.abc import Callable

from rooklug.cli.operator_client import OperatorRequest
from rooklug.runbooks.model import Action, Finding
from rooklug.runbooks.site import Site, SiteStatus


def on_status(evaluate: Callable[[SiteStatus], Finding]) -> Action:
    """Return an action that evaluates the site's status; it fails if there is none."""

    async def evaluate_status(site: Site) -> Finding:
        status = await site.status()
        if status.is_error():
            return Finding.failed(f"no status: {status.error}")
        return evaluate(status.ok)

    return evaluate_status


def ordering(request: OperatorRequest) -> Action:
    """Return an action that sends ``request`` and passes if the site accepts it."""

    async def act(site: Site) -> Finding:
        answer = await site.order(request)
        if answer.is_error():
            return Finding.failed(answer.error)
        return Finding.passed(f"{request.method} {request.path} was taken")

    return act


def in_sync_without(core_id: str) -> Callable[[SiteStatus], Finding]:
    """Return a check for two cores besides ``core_id`` that are in sync and answer."""

    def evaluate(status: SiteStatus) -> Finding:
        primary = status.primary_core()
        if primary is None:
            return Finding.failed("there is no primary core")
        others = [member for member in primary.in_sync if member != core_id]
        reachable = [member for member in others if status.core(member) is not None]
        text = f"primary {primary.node_id}, in sync and answering: {', '.join(reachable)}"
        return Finding(len(reachable) >= 2, text)

    return evaluate


def core_in_sync(core_id: str) -> Callable[[SiteStatus], Finding]:
    """Return a check that core ``core_id`` answers and is in sync with the primary."""

    def evaluate(status: SiteStatus) -> Finding:
        primary = status.primary_core()
        if primary is None:
            return Finding.failed("there is no primary core")
        text = f"primary {primary.node_id}, in sync: {', '.join(primary.in_sync)}"
        return Finding(core_id in primary.in_sync and status.core(core_id) is not None, text)

    return evaluate
