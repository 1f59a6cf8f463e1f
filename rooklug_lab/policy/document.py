"""Builds a simulated deployment's configuration document: a host and a route for each kind."""

import json

from rooklug_lab.policy.shapes import PolicySite, RequestKind, ServiceShape


def document_of(site: PolicySite) -> bytes:
    """Return the JSON document, in the format of the gateway configuration."""
    routes = [_route(kind) for kind in site.kinds]
    services = [_service(service) for service in site.services]
    return json.dumps({"version": 1, "routes": routes, "services": services}).encode()


def _route(kind: RequestKind) -> dict:
    return {
        "name": kind.name,
        "host": f"{kind.name}.example",
        "prefix": f"/{kind.name}/",
        "execution": "event_stream" if kind.is_stream else "at_most_once",
        "timeout_ms": kind.deadline_s * 1000,
        "latency_objective_ms": kind.objective_s * 1000,
        "gap_objective_ms": kind.gap_s * 1000,
        "priority": kind.priority,
        "service": kind.service,
        "max_replicas": kind.max_replicas,
        "affinity": kind.is_stream,
        "resumable": kind.resumable,
        "home_regions": list(kind.homes),
    }


def _service(service: ServiceShape) -> dict:
    document = {
        "name": service.name,
        "health_path": "/health",
        "max_connections": 1000,
        "cold_requests_per_s": service.cold_rate_per_s,
    }
    if service.engine is not None:
        engine = service.engine
        document["engine"] = {"slots": engine.slots, "key_value_tokens": engine.memory_tokens}
    return document
