"""What the edge's wire format is called: names and codecs, given to the parts that decide."""

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
class WhereQuestion:
    """A client asks which fronts to connect to."""

    host: str
    region: str
    zone: str


@attrs.frozen
class SubmitOrder:
    """A whole configuration or a patch, in the product's own document format."""

    version: int
    body: bytes
    is_patch: bool
    base_version: int


@attrs.frozen
class ZoneOrder:
    """Empty a zone, or take it back."""

    zone: str
    emptied: bool


@attrs.frozen
class ReadOrder:
    """Read the newest configuration."""


@attrs.frozen
class BadOrder:
    """An order that can't be read, with the status it gets."""

    status: int
    message: str


OperatorOrder = SubmitOrder | ZoneOrder | ReadOrder | BadOrder


@attrs.frozen
class ListingPage:
    """One page of the platform's list; ``next_page`` is "" on the last one."""

    replicas: tuple[ListedReplica, ...]
    next_page: str


@attrs.frozen
class EdgeDialect:
    """Everything a front needs to speak with clients and replicas."""

    headers: HeaderNames
    readiness_path: str
    read_where: Callable[[HttpRequestArrived], WhereQuestion | None]
    write_where: Callable[[list[str], float], bytes]


@attrs.frozen
class ControlDialect:
    """Everything a core needs to speak with operators and the platform's list."""

    read_order: Callable[[HttpRequestArrived], OperatorOrder]
    write_configuration: Callable[[bytes], bytes]
    listing_path: Callable[[str], str]
    read_listing: Callable[[bytes], ListingPage | None]
