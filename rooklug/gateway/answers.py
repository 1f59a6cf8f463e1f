"""Responses that a gateway front gives clients by itself, without a replica's."""

import json
from enum import Enum

from rooklug.engine import effects as fx


class GatewayError(Enum):
    """Why a client gets no replica's response. Each value is the error code and HTTP status."""

    NOT_READY = ("not_ready", 503)
    BAD_REQUEST = ("bad_request", 400)
    NO_ROUTE = ("no_route", 404)
    NOT_RUN = ("not_run", 503)
    ENDING = ("ending", 503)
    MAY_HAVE_RUN = ("may_have_run", 502)
    TIMED_OUT = ("timed_out", 504)

    @property
    def code(self) -> str:
        """The error code in the response body."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return self.value[1]

    @property
    def guarantees_not_run(self) -> bool:
        """Whether the response guarantees that the request has not run and never will."""
        return self.status == 503


def error_answer(
    http_id: int, error: GatewayError, headers: dict[str, str], retry_after_s: float = 0.0
) -> fx.HttpRespond:
    """Return the error response.

    A ``retry_after_s`` above 0 becomes ``Retry-After``, in seconds with two decimals.
    """
    lines = dict(headers)
    if retry_after_s > 0:
        lines["retry-after"] = f"{retry_after_s:.2f}"
    body = json.dumps({"error": {"code": error.code}}).encode()
    return fx.HttpRespond(http_id, error.status, body, lines)
