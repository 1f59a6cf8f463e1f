"""Interfaces to the formats of a deployment's clients, replicas, operators and platform.

The deployment passes in header names and codecs as a ``ClientProtocol`` and an
``OperatorProtocol``; the rest of the package is independent of the formats.
"""

from collections.abc import Callable

import attrs

from rooklug.engine.events import HttpRequestArrived
from rooklug.wire.generated.control.ttypes import ListedReplica


@attrs.frozen
class HeaderNames:
    """Names of HTTP headers, in lower case. The defaults are rooklug's own."""

    request_id: str = "rooklug-request-id"
    deadline_ms: str = "rooklug-deadline-ms"
    expected_replica: str = "rooklug-expected-replica"
    not_executed: str = "rooklug-not-executed"
    signature: str = "rooklug-signature"
    prompt_parts: str = "rooklug-prompt-parts"
    token_counts: str = "rooklug-token-counts"
    model: str = "rooklug-model"
    priority: str = "rooklug-priority"
    resume_after: str = "last-event-id"


@attrs.frozen
class ResolveRequest:
    """A client's lookup of the fronts to connect to; ``region`` and ``zone`` are the client's."""

    host: str
    region: str
    zone: str


@attrs.frozen
class SubmitConfiguration:
    """A new configuration: a complete document or a patch of version ``base_version``."""

    version: int
    body: bytes
    is_patch: bool
    base_version: int


@attrs.frozen
class DrainZone:
    """Drain a zone, or return it to service."""

    zone: str
    drained: bool


@attrs.frozen
class ReadConfiguration:
    """Read the latest committed configuration."""


@attrs.frozen
class BadCall:
    """A call that can't be parsed, with the HTTP status and error message of the response."""

    status: int
    message: str


OperatorCall = SubmitConfiguration | DrainZone | ReadConfiguration | BadCall


@attrs.frozen
class ListingPage:
    """One page of the platform's list.

    ``next_page`` is "" on the last one. ``rejected`` says for each entry that can't be used why.
    """

    replicas: tuple[ListedReplica, ...]
    next_page: str
    rejected: tuple[str, ...] = ()


@attrs.frozen
class ClientProtocol:
    """Header names and codecs that a front uses for clients, replicas and readiness checks.

    ``read_resolve_request`` returns None for any other request; ``write_addresses`` gets the
    addresses and their TTL in seconds.
    """

    headers: HeaderNames
    readiness_path: str
    read_resolve_request: Callable[[HttpRequestArrived], ResolveRequest | None]
    write_addresses: Callable[[list[str], float], bytes]


@attrs.frozen
class OperatorProtocol:
    """Codecs that a core uses for operators' calls and the platform's list of replicas.

    ``listing_path`` gets the page name, "" for the first page; ``read_listing`` returns None for a
    page that can't be parsed.
    """

    read_call: Callable[[HttpRequestArrived], OperatorCall]
    write_configuration: Callable[[bytes], bytes]
    listing_path: Callable[[str], str]
    read_listing: Callable[[bytes], ListingPage | None]
