"""The formats that a deployment's clients, replicas, operators and platform speak.

Header names and codecs come from outside as a ``ClientProtocol`` and an ``OperatorProtocol``, so
that the gateway decides without knowing any of them.
"""

from collections.abc import Callable

import attrs

from rooklug.engine.events import HttpRequestArrived
from rooklug.wire.generated.control.ttypes import ListedReplica


@attrs.frozen
class HeaderNames:
    """Names of headers, in lower case. The defaults are rooklug's own."""

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
    """A client asks the directory which fronts to connect to."""

    host: str
    region: str
    zone: str


@attrs.frozen
class SubmitConfiguration:
    """A complete configuration or a patch, in rooklug's own document format."""

    version: int
    body: bytes
    is_patch: bool
    base_version: int


@attrs.frozen
class DrainZone:
    """Drain a zone, or take it back into service."""

    zone: str
    drained: bool


@attrs.frozen
class ReadConfiguration:
    """Read the newest configuration."""


@attrs.frozen
class BadCall:
    """A call that can't be parsed, with the HTTP status of its answer."""

    status: int
    message: str


OperatorCall = SubmitConfiguration | DrainZone | ReadConfiguration | BadCall


@attrs.frozen
class ListingPage:
    """One page of the platform's list; ``next_page`` is "" on the last one."""

    replicas: tuple[ListedReplica, ...]
    next_page: str


@attrs.frozen
class ClientProtocol:
    """Names and codecs that a front needs for clients, replicas and readiness checks."""

    headers: HeaderNames
    readiness_path: str
    read_resolve_request: Callable[[HttpRequestArrived], ResolveRequest | None]
    write_addresses: Callable[[list[str], float], bytes]


@attrs.frozen
class OperatorProtocol:
    """Codecs that a core needs for operators' calls and the platform's list of replicas."""

    read_call: Callable[[HttpRequestArrived], OperatorCall]
    write_configuration: Callable[[bytes], bytes]
    listing_path: Callable[[str], str]
    read_listing: Callable[[bytes], ListingPage | None]
