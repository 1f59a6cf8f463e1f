"""The edge that the lab's stand-ins speak: rooklug's own names."""

import json

from rooklug.engine.events import HttpRequestArrived
from rooklug.gateway.dialect import (
    BadOrder,
    ControlDialect,
    EdgeDialect,
    HeaderNames,
    ListingPage,
    OperatorOrder,
    ReadOrder,
    SubmitOrder,
    WhereQuestion,
    ZoneOrder,
)
from rooklug.wire.generated.control.ttypes import ListedReplica

NAMES = HeaderNames()
WHERE_PATH = "/where"
READY_PATH = "/ready"
CHANGE_PATH = "/change"
CONFIGURATION_PATH = "/configuration"
LIST_PATH = "/list"


def edge_dialect() -> EdgeDialect:
    """Return what the simulated fronts speak."""
    return EdgeDialect(NAMES, READY_PATH, _read_where, _write_where)


def control_dialect() -> ControlDialect:
    """Return what the simulated cores speak."""
    return ControlDialect(_read_order, bytes, _listing_path, _read_listing)


def _read_where(event: HttpRequestArrived) -> WhereQuestion | None:
    if event.path != WHERE_PATH:
        return None
    query = event.query
    return WhereQuestion(query.get("host", ""), query.get("region", ""), query.get("zone", ""))


def _write_where(addresses: list[str], ttl_s: float) -> bytes:
    return json.dumps({"addresses": addresses, "ttl_s": ttl_s}).encode()


def _read_order(event: HttpRequestArrived) -> OperatorOrder:
    if event.path == CONFIGURATION_PATH:
        return ReadOrder()
    if event.path == CHANGE_PATH:
        query = event.query
        is_patch = query.get("patch") == "1"
        return SubmitOrder(int(query["version"]), event.body, is_patch, int(query["base"]))
    _, _, zone, action = f"{event.path}//".split("/", 4)[:4]
    if event.path.startswith("/zone/") and action in ("empty", "restore"):
        return ZoneOrder(zone, emptied=action == "empty")
    return BadOrder(404, "no such call")


def _listing_path(page: str) -> str:
    return f"{LIST_PATH}?page={page}"


def _read_listing(body: bytes) -> ListingPage | None:
    entries = json.loads(body)["replicas"]
    return ListingPage(tuple(ListedReplica(**entry) for entry in entries), "")
