"""The configuration document of a simulated deployment, as an operator submits it."""

import json

from rooklug_lab.gateway.clients import HOST
from rooklug_lab.gateway.oracles import REPEATABLE_REPLICAS


def _route(name: str) -> dict:
    """Return a route: "s" streams, "again" allows repeats, "home-R" is bound to region R."""
    execution = {"s": "event_stream", "again": "repeatable"}.get(name, "at_most_once")
    home = name.removeprefix("home-") if name.startswith("home-") else ""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "execution": execution,
        "timeout_ms": 4000,
        "latency_objective_ms": 800,
        "priority": 1,
        "service": "model" if name == "s" else "ledger",
        "max_replicas": REPEATABLE_REPLICAS if name == "again" else 1,
        "affinity": name == "s",
        "home_regions": [home] if home else [],
    }


def site_document(version: int, routes: list[str], cold_rate_per_s: float) -> bytes:
    """Return a complete configuration in JSON with these routes, named as in ``_route``."""
    items = [_route(name) for name in routes]
    services = [
        {
            "name": "model",
            "health_path": "/health",
            "max_connections": 100,
            "cold_requests_per_s": cold_rate_per_s,
            "engine": {"slots": 40, "key_value_tokens": 200000},
        },
        {"name": "ledger", "health_path": "/health", "max_connections": 100},
    ]
    return json.dumps({"version": version, "routes": items, "services": services}).encode()
