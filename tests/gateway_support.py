"""Runs a front's gateway without sockets: tests pass in events and check the effects."""

import json
from random import Random
from typing import Any

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.engine.reducer import Identifiers
from rooklug.gateway.decision import Decision
from rooklug.gateway.document import GatewayConfiguration
from rooklug.gateway.document_reader import read_gateway_configuration
from rooklug.gateway.executor import LISTENER, GatewayExecutor
from rooklug.gateway.gateway_events import ViewChanged
from rooklug.gateway.protocols import HeaderNames
from rooklug.gateway.retry_budget import RetryBudgetSettings
from rooklug.gateway.slow_start_limiter import SlowStartLimiter
from rooklug.gateway.traffic_record import TrafficRecord
from rooklug.gateway.view import GatewayReplica, GatewayView
from rooklug.wire.generated.control.ttypes import NodeRecord, VersionMark

NAMES = HeaderNames()
HOST = "desk.example"


def route_item(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route as it appears in a document; ``fields`` replace the defaults."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "execution": "at_most_once",
        "timeout_ms": 2000,
        "latency_objective_ms": 200,
        "priority": 1,
        "service": "ledger",
        "max_replicas": 1,
        **fields,
    }


def document(routes: list[dict[str, Any]], version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a complete configuration document with two services, ``ledger`` and ``model``."""
    services = [
        {"name": "ledger", "health_path": "/health", "max_connections": 10},
        {
            "name": "model",
            "health_path": "/health",
            "max_connections": 640,
            "cold_requests_per_s": 10.0,
            "engine": {"slots": 128, "key_value_tokens": 200000},
        },
    ]
    return {"version": version, "routes": routes, "services": services, **fields}


def configuration(routes: list[dict[str, Any]]) -> GatewayConfiguration:
    """Return the configuration read from a valid document with these routes."""
    return read_gateway_configuration(json.dumps(document(routes)).encode()).ok


def replica(number: int, service: str = "ledger", **fields: Any) -> GatewayReplica:
    """Return a replica in the front's own zone; ``fields`` replace the defaults."""
    defaults = {
        "replica_id": f"{service}-{number}",
        "address": f"10.0.0.{number}:80",
        "service": service,
        "region": "north",
        "zone": "north-a",
        "slots": 6,
        "draining": False,
    }
    return GatewayReplica(**{**defaults, **fields})


def front(number: int, **fields: Any) -> NodeRecord:
    """Return the membership record of a ready front; ``fields`` replace the defaults."""
    defaults = {
        "node_id": f"front-{number}",
        "role": "front",
        "zone": "north-a",
        "region": "north",
        "internal_address": f"10.1.0.{number}:7000",
        "http_address": f"10.1.0.{number}:8000",
        "incarnation": "1",
        "ready": True,
        "draining": False,
        "configuration": VersionMark(0, 0),
    }
    return NodeRecord(**{**defaults, **fields})


class GatewayFront:
    """One executor with its decision object, a virtual clock ``now`` and a fixed view."""

    def __init__(
        self,
        routes: list[dict[str, Any]],
        replicas: list[GatewayReplica],
        fronts: int = 3,
        budget: RetryBudgetSettings | None = None,
    ) -> None:
        by_service: dict[str, tuple[GatewayReplica, ...]] = {}
        for entry in replicas:
            by_service[entry.service] = (*by_service.get(entry.service, ()), entry)
        self.now = 100.0
        self.view = GatewayView(
            configuration=configuration(routes),
            replicas=by_service,
            has_replica_list=True,
            fronts=tuple(front(number) for number in range(1, fronts + 1)),
        )
        random = Random(1)
        traffic = TrafficRecord(random, SlowStartLimiter("front-1"))
        self.decision = Decision("north", "north-a", random, traffic)
        self.executor = GatewayExecutor(
            self.decision, NAMES, Identifiers(), budget or RetryBudgetSettings(slack=60.0)
        )
        self.executor.handle(ViewChanged(self.view), self.now)
        self._next_http_id = 1000

    def request(self, path: str = "/pay/1", **fields: Any) -> list[fx.Effect]:
        """Deliver a client's request; return the effects without internal events and timers."""
        self._next_http_id += 1
        headers = {
            "host": HOST,
            NAMES.request_id: f"id-{self._next_http_id}",
            NAMES.deadline_ms: "2000",
            **fields.pop("headers", {}),
        }
        event = ev.HttpRequestArrived(
            request_id=self._next_http_id,
            method="POST",
            path=path.partition("?")[0],
            query={},
            headers=headers,
            body=fields.pop("body", b"body"),
            target=path,
            listener=LISTENER,
        )
        return self.handle(event)

    def handle(self, event: ev.Event) -> list[fx.Effect]:
        """Deliver an event; return the effects without internal events and timers."""
        effects = self.executor.handle(event, self.now)
        return [effect for effect in effects if not isinstance(effect, EmitEvent | fx.StartTimer)]


def answer_headers(call: fx.HttpCall, **fields: str) -> dict[str, str]:
    """Return the headers of a replica's response to a call, with the call's request id."""
    return {
        NAMES.request_id: call.headers[NAMES.request_id],
        NAMES.signature: "signed",
        "content-type": "text/plain",
        **fields,
    }


def every_replica(view: GatewayView, service: str, homes: tuple[str, ...]) -> list[Any]:
    """Replacement for ``GatewayView.usable`` that excludes no replicas."""
    return list(view.replicas.get(service, ()))
