"""Client and operator protocols of the simulated deployment, with rooklug's default headers."""

import json

from rooklug.engine.events import HttpRequestArrived
from rooklug.gateway.protocols import (
    BadCall,
    ClientProtocol,
    DrainZone,
    HeaderNames,
    ListingPage,
    OperatorCall,
    OperatorProtocol,
    ReadConfiguration,
    ResolveRequest,
    SubmitConfiguration,
)
from rooklug.wire.generated.control.ttypes import ListedReplica

NAMES = HeaderNames()
RESOLVE_PATH = "/where"
READY_PATH = "/ready"
CHANGE_PATH = "/change"
CONFIGURATION_PATH = "/configuration"
LIST_PATH = "/list"


def client_protocol() -> ClientProtocol:
    """Return the protocol between the simulated fronts and their clients."""
    return ClientProtocol(NAMES, READY_PATH, _read_resolve_request, _write_addresses)


def operator_protocol() -> OperatorProtocol:
    """Return the protocol of the simulated cores towards operators and the platform's listing."""
    return OperatorProtocol(_read_call, bytes, _listing_path, _read_listing)


def _read_resolve_request(event: HttpRequestArrived) -> ResolveRequest | None:
    if event.path != RESOLVE_PATH:
        return None
    query = event.query
    return ResolveRequest(query.get("host", ""), query.get("region", ""), query.get("zone", ""))


def _write_addresses(addresses: list[str], ttl_s: float) -> bytes:
    return json.dumps({"addresses": addresses, "ttl_s": ttl_s}).encode()


def _read_call(event: HttpRequestArrived) -> OperatorCall:
    if event.path == CONFIGURATION_PATH:
        return ReadConfiguration()
    if event.path == CHANGE_PATH:
        query = event.query
        is_patch = query.get("patch") == "1"
        return SubmitConfiguration(int(query["version"]), event.body, is_patch, int(query["base"]))
    _, _, zone, action = f"{event.path}//".split("/", 4)[:4]
    if event.path.startswith("/zone/") and action in ("empty", "restore"):
        return DrainZone(zone, drained=action == "empty")
    return BadCall(404, "no such call")


def _listing_path(page: str) -> str:
    return f"{LIST_PATH}?page={page}"


def _read_listing(body: bytes) -> ListingPage | None:
    entries = json.loads(body)["replicas"]
    return ListingPage(tuple(ListedReplica(**entry) for entry in entries), "")
