"""Checks the entries of the platform's list of replicas one by one.

An entry that can't be used is left out, with the reason, and the other entries stay in the list.
"""

from typing import Any

import attrs
from expression import Error, Ok, Result

from rooklug.gateway.protocols import ListingPage
from rooklug.model.constants import MAX_SAFE_INTEGER
from rooklug.model.input_values import (
    MAX_INT32,
    address_text,
    encodable_text,
    finite_number,
    identifier_text,
    whole_number,
)
from rooklug.wire.generated.control.ttypes import ListedReplica

REPLICA_KIND = "gateway"
_MAX_SHOWN_LENGTH = 60


@attrs.frozen
class ListEntry:
    """The unchecked fields of an entry, as they were parsed from JSON; None if missing.

    ``state`` is "ready" for a replica that takes requests; in any other state it is leaving.
    ``slow_start_ms`` is what is left of its slow start.
    """

    replica_id: Any
    address: Any
    service: Any
    zone: Any
    state: Any
    slots: Any
    slow_start_ms: Any


@attrs.frozen
class RejectedEntry:
    """Why an entry was left out, for the log; ``message`` names the field and shows its value."""

    message: str


def read_list_entry(
    entry: ListEntry, region_of_zone: dict[str, str]
) -> Result[ListedReplica, RejectedEntry]:
    """Return the replica that an entry lists; a zone without a region is a region of its own."""
    checks = (
        ("id", entry.replica_id, identifier_text(entry.replica_id)),
        ("address", entry.address, address_text(entry.address)),
        ("service", entry.service, encodable_text(entry.service)),
        ("zone", entry.zone, encodable_text(entry.zone)),
        ("state", entry.state, encodable_text(entry.state)),
        ("slots", entry.slots, _slots(entry.slots)),
        ("slow start", entry.slow_start_ms, _slow_start_ms(entry.slow_start_ms)),
    )
    for name, value, accepted in checks:
        if accepted is None:
            message = f"{name} {shown(value)} of entry {shown(entry.replica_id)} can't be used"
            return Error(RejectedEntry(message))
    replica = ListedReplica(
        replica_id=entry.replica_id,
        address=entry.address,
        kind=REPLICA_KIND,
        backend=entry.service,
        region=region_of_zone.get(entry.zone, entry.zone),
        zone=entry.zone,
        resource=entry.service,
        resource_units=1.0,
        leaving=entry.state != "ready",
        slots=entry.slots,
        cold_ms=_slow_start_ms(entry.slow_start_ms),
    )
    return Ok(replica)


def read_page(
    entries: list[ListEntry], next_page: str, region_of_zone: dict[str, str]
) -> ListingPage:
    """Return a page with the replicas of the usable entries, and why the others were left out."""
    results = [read_list_entry(entry, region_of_zone) for entry in entries]
    replicas = tuple(result.ok for result in results if result.is_ok())
    rejected = tuple(result.error.message for result in results if result.is_error())
    return ListingPage(replicas, next_page, rejected)


def shown(value: Any) -> str:
    """Return a short ASCII representation of a value from outside, for a log line."""
    text = ascii(value) if isinstance(value, str | int | float | None) else type(value).__name__
    return text if len(text) <= _MAX_SHOWN_LENGTH else f"{text[:_MAX_SHOWN_LENGTH]}..."


def _slots(value: Any) -> int | None:
    """Return the slots, 0 if the list doesn't state them."""
    return 0 if value is None else whole_number(value, 0, MAX_INT32)


def _slow_start_ms(value: Any) -> int | None:
    """Return the rest of the slow start; one in the past is over."""
    if value is None:
        return 0
    milliseconds = finite_number(value, smallest=-MAX_SAFE_INTEGER)
    return None if milliseconds is None else int(max(milliseconds, 0.0))
