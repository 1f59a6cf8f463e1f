"""A runbook's view of the site, read through the operators' API of the fronts."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from expression import Error, Ok, Result

from rooklug.cli.operator_client import OperatorAnswer, OperatorClient, OperatorRequest
from rooklug.cli.operator_requests import STATUS, decisions_after

PHASE_PRIMARY = "primary"


@attrs.frozen
class CoreView:
    """A core in the status; ``unreachable`` is the reason if it did not answer, else ""."""

    address: str
    node_id: str = ""
    phase: str = ""
    epoch: int = 0
    in_sync: tuple[str, ...] = ()
    configuration_version: int = 0
    unreachable: str = ""


@attrs.frozen
class NodeView:
    """A live node, as listed by the primary core."""

    node_id: str
    role: str
    zone: str
    region: str
    http_address: str
    incarnation: str
    ready: bool
    draining: bool
    configuration_version: int


@attrs.frozen
class SiteStatus:
    """The site's status; ``drained_zones`` is None while there is no primary."""

    primary: str
    cores: tuple[CoreView, ...]
    nodes: tuple[NodeView, ...]
    drained_zones: tuple[str, ...] | None

    def primary_core(self) -> CoreView | None:
        """Return the primary with the highest epoch, or None."""
        primaries = [core for core in self.cores if core.phase == PHASE_PRIMARY]
        return max(primaries, key=lambda core: core.epoch, default=None)

    def core(self, node_id: str) -> CoreView | None:
        """Return the core with this id if it answered, else None."""
        return next((core for core in self.cores if core.node_id == node_id), None)

    def node(self, node_id: str) -> NodeView | None:
        """Return the live node with this id, or None."""
        return next((node for node in self.nodes if node.node_id == node_id), None)

    def fronts(self) -> list[NodeView]:
        """Return the live fronts, ready or not."""
        return [node for node in self.nodes if node.role == "front"]


def read_status(document: dict[str, Any]) -> SiteStatus:
    """Parse a status document; members unknown to this version are ignored."""
    drained = document.get("emptied_zones")
    return SiteStatus(
        primary=document.get("primary") or "",
        cores=tuple(_view(CoreView, core) for core in document.get("cores", ())),
        nodes=tuple(_view(NodeView, node) for node in document.get("nodes", ())),
        drained_zones=None if drained is None else tuple(drained),
    )


def _view(view_class: type, document: dict[str, Any]) -> Any:
    names = {field.name for field in attrs.fields(view_class)}
    values = {name: value for name, value in document.items() if name in names}
    if "in_sync" in values:
        values["in_sync"] = tuple(values["in_sync"])
    return view_class(**values)


class Site:
    """Sends queries and orders; tests replace ``clock`` and ``sleep`` by virtual time."""

    def __init__(
        self,
        client: OperatorClient,
        clock: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.clock = clock
        self.sleep = sleep
        self._client = client

    async def status(self) -> Result[SiteStatus, str]:
        """Query the site's status; an error is the reason of the failure."""
        answer = await self.order(STATUS)
        return answer.map(lambda found: read_status(found.document()))

    async def decisions(self) -> Result[list[dict[str, Any]], str]:
        """Query the stored decisions, oldest first."""
        answer = await self.order(decisions_after("0.0.0", 0.0))
        return answer.map(lambda found: found.document().get("decisions", []))

    async def order(self, request: OperatorRequest) -> Result[OperatorAnswer, str]:
        """Send an order or query to any front; a status other than 200 is an error."""
        outcome = await self._client.send(request)
        if outcome.is_error():
            return Error("; ".join(outcome.error.reasons) or "no answer")
        return self._require_success(outcome.ok)

    async def ask_each_front(self, request: OperatorRequest) -> list[OperatorAnswer]:
        """Send a query to each front that the operator has named; return the successful answers."""
        answers = [await self.call_node(address, request) for address in self._client.nodes]
        return [answer.ok for answer in answers if answer.is_ok()]

    async def call_node(
        self, address: str, request: OperatorRequest
    ) -> Result[OperatorAnswer, str]:
        """Send a request to one node, without retries; a status other than 200 is an error."""
        answer = await self._client.send_once(address, request)
        return answer.bind(self._require_success)

    @staticmethod
    def _require_success(answer: OperatorAnswer) -> Result[OperatorAnswer, str]:
        if answer.status == 200:
            return Ok(answer)
        message = answer.document().get("error", {}).get("message", "")
        return Error(f"{answer.status} {answer.error_code()} {message}".rstrip())
