"""Stand-ins for the tests of a gateway core: an operator protocol, listed replicas, a context."""

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
    orders = {
        "/change": SubmitConfiguration(2, b"{}", False, 1),
        "/zone": DrainZone("north-a", True),
        "/read": ReadConfiguration(),
    }
    return OperatorProtocol(
        read_call=lambda event: orders.get(event.path, BadCall(404, "no such call")),
        write_configuration=lambda body: b"<" + body + b">",
        listing_path=lambda page: f"/list/{page}",
        read_listing=lambda body: (pages or {}).get(body.decode()),
    )


def context() -> ProcessContext:
    return ProcessContext("core-1", "incarnation", Random(1), Identifiers())
