"""Fixtures for tests of a gateway core: an operator protocol, listed replicas, a context."""

from random import Random

from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.gateway.protocols import (
    BadCall,
    DrainZone,
    ListingPage,
    OperatorProtocol,
    ReadConfiguration,
    SubmitConfiguration,
)
from rooklug.wire.generated.control.ttypes import (
    ListedReplica,
)

PRIMARY = "10.0.0.1:7000"


def listed(number: int, **fields) -> ListedReplica:
    """Return an entry of the platform's list; ``fields`` replace the defaults."""
    defaults = {
        "replica_id": f"r-{number}",
        "address": f"10.9.0.{number}:80",
        "kind": "gateway",
        "backend": "model",
        "region": "north",
        "zone": "north-a",
        "resource": "model",
        "resource_units": 1.0,
        "leaving": False,
        "slots": 128,
        "cold_ms": 0,
    }
    return ListedReplica(**{**defaults, **fields})


def operator_protocol(pages: dict[str, ListingPage] | None = None) -> OperatorProtocol:
    """Return a protocol that maps paths to calls, and bodies of listing answers to ``pages``."""
    calls = {
        "/change": SubmitConfiguration(2, b"{}", False, 1),
        "/zone": DrainZone("north-a", True),
        "/read": ReadConfiguration(),
    }
    return OperatorProtocol(
        read_call=lambda event: calls.get(event.path, BadCall(404, "no such call")),
        write_configuration=lambda body: b"<" + body + b">",
        listing_path=lambda page: f"/list/{page}",
        read_listing=lambda body: (pages or {}).get(body.decode()),
    )


def context() -> ProcessContext:
    return ProcessContext("core-1", "incarnation", Random(1), Identifiers())
