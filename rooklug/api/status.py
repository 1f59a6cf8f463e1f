"""``GET /v1/status``: queries every core, so that it also works without a primary."""

from typing import Any

import attrs

from rooklug.api.answers import json_answer
from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers
from rooklug.model import topics
from rooklug.model.constants import CALL_DEADLINE_S
from rooklug.model.versions import version_key
from rooklug.wire.generated.control.ttypes import (
    CoreStatus,
    NodeRecord,
    ReadStatusAnswer,
    ReadStatusRequest,
    RoleOwner,
)

PRIMARY_PHASE = "primary"


@attrs.define
class _StatusQuery:
    """A status request in progress: each core's answer, or the reason for its failure."""

    request_id: int
    open_calls: dict[int, str] = attrs.field(factory=dict)
    answers: dict[str, ReadStatusAnswer] = attrs.field(factory=dict)
    failures: dict[str, str] = attrs.field(factory=dict)


class StatusCollector:
    """Queries all cores and merges their answers into one status document."""

    def __init__(
        self, identifiers: Identifiers, core_link: CoreLink, seeds: tuple[str, ...], node_id: str
    ) -> None:
        self._identifiers = identifiers
        self._core_link = core_link
        self._seeds = seeds
        self._node_id = node_id
        self._by_call: dict[int, _StatusQuery] = {}

    def start(self, request_id: int) -> list[fx.Effect]:
        """Query every core; the response follows when the last call has ended."""
        query = _StatusQuery(request_id)
        calls: list[fx.Effect] = []
        for address in self._seeds:
            call_id = self._identifiers.next()
            query.open_calls[call_id] = address
            self._by_call[call_id] = query
            calls.append(fx.Call(call_id, address, ReadStatusRequest(), CALL_DEADLINE_S))
        return calls or [self._respond(query)]

    def handle(self, event: ev.CallAnswered | ev.CallFailed) -> list[fx.Effect]:
        """Record a core's answer or failure; respond when no call is open."""
        query = self._by_call.pop(event.call_id, None)
        if query is None:
            return []
        address = query.open_calls.pop(event.call_id)
        if isinstance(event, ev.CallAnswered):
            query.answers[address] = event.answer
        else:
            query.failures[address] = event.reason
        return [] if query.open_calls else [self._respond(query)]

    def owns(self, call_id: int) -> bool:
        """Return whether the call was made by this collector and is still open."""
        return call_id in self._by_call

    def _respond(self, query: _StatusQuery) -> fx.HttpRespond:
        primary = _primary_answer(list(query.answers.values()))
        nodes = primary.nodes if primary else self._core_link.members()
        owners = primary.role_owners if primary else []
        configuration = self._core_link.body(topics.CONFIGURATION)
        document = {
            "primary": primary.core.node_id if primary else "",
            "cores": [
                *(
                    _core_document(address, query.answers[address].core)
                    for address in query.answers
                ),
                *(
                    {"address": address, "unreachable": query.failures[address]}
                    for address in query.failures
                ),
            ],
            "nodes": [_node_document(node) for node in nodes],
            "role_owners": [_owner_document(owner) for owner in owners],
            "emptied_zones": list(primary.emptied_zones) if primary else None,
            "front": {
                "node_id": self._node_id,
                "connected": self._core_link.connected,
                "configuration_version": configuration.version if configuration else 0,
            },
        }
        return json_answer(query.request_id, 200, document)


def _primary_answer(answers: list[ReadStatusAnswer]) -> ReadStatusAnswer | None:
    primaries = [answer for answer in answers if answer.core.phase == PRIMARY_PHASE]
    return max(primaries, key=lambda answer: answer.core.epoch, default=None)


def _core_document(address: str, core: CoreStatus) -> dict[str, Any]:
    return {
        "address": address,
        "node_id": core.node_id,
        "phase": core.phase,
        "epoch": core.epoch,
        "primary_id": core.primary_id,
        "in_sync": list(core.in_sync),
        "committed_sequence": core.committed_sequence,
        "configuration_version": core.configuration_version,
        "note": core.note,
    }


def _node_document(node: NodeRecord) -> dict[str, Any]:
    return {
        "node_id": node.node_id,
        "role": node.role,
        "zone": node.zone,
        "region": node.region,
        "http_address": node.http_address,
        "incarnation": node.incarnation,
        "ready": node.ready,
        "draining": node.draining,
        "configuration_version": node.configuration.counter,
    }


def _owner_document(owner: RoleOwner) -> dict[str, Any]:
    return {
        "role_key": owner.role_key,
        "node_id": owner.node_id,
        "token": list(version_key(owner.token)),
    }
