"""Strict parsing of the platform's answer to ``GET /platform/replicas``."""

import ipaddress
import json
from typing import Any

import attrs
from expression import Error, Ok, Result

from rooklug.controller.json_fields import (
    MalformedError,
    count_field,
    flag_field,
    number_field,
    text_field,
)
from rooklug.wire.generated.control.ttypes import ListedReplica

MAX_LISTING_BYTES = 8 * 1024 * 1024
REPLICA_KINDS = ("model", "once")
MAX_PORT = 65535


@attrs.frozen
class ListingError:
    """Why an answer of the platform was rejected."""

    message: str


@attrs.frozen
class Listing:
    """The platform's replica list at one version, sorted by replica id."""

    version: int
    replicas: tuple[ListedReplica, ...]


def read_listing(body: bytes) -> Result[Listing, ListingError]:
    """Parse a complete answer; a single invalid entry rejects it all."""
    if len(body) > MAX_LISTING_BYTES:
        return Error(ListingError("the listing is larger than 8 MiB"))
    try:
        return Ok(_read_document(json.loads(body)))
    except (ValueError, RecursionError) as problem:
        return Error(ListingError(str(problem)))


def _read_document(document: Any) -> Listing:
    if not isinstance(document, dict):
        raise MalformedError("the platform's answer must be a JSON object")
    version = count_field(document, "version")
    entries = document.get("replicas")
    if not isinstance(entries, list):
        raise MalformedError("replicas must be a list")
    replicas = [_replica(entry) for entry in entries]
    if len({replica.replica_id for replica in replicas}) != len(replicas):
        raise MalformedError("replicas lists a replica_id more than once")
    return Listing(version, tuple(sorted(replicas, key=lambda replica: replica.replica_id)))


def _replica(entry: Any) -> ListedReplica:
    if not isinstance(entry, dict):
        raise MalformedError("each entry of replicas must be a JSON object")
    kind = entry.get("kind")
    if kind not in REPLICA_KINDS:
        raise MalformedError("kind must be 'model' or 'once'")
    return ListedReplica(
        replica_id=text_field(entry, "replica_id"),
        address=_address(entry),
        kind=kind,
        backend=text_field(entry, "backend", may_be_empty=kind == "model"),
        region=text_field(entry, "region"),
        zone=text_field(entry, "zone"),
        resource=text_field(entry, "resource", may_be_empty=kind == "once"),
        resource_units=number_field(entry, "resource_units"),
        leaving=flag_field(entry, "leaving"),
    )


def _address(entry: dict[str, Any]) -> str:
    value = text_field(entry, "address")
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
        raise MalformedError("address must be ip:port, with a port between 1 and 65535")
    return value
