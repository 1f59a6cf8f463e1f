"""The gateway's own answers to clients."""

import json
from enum import Enum

from rooklug.engine import effects as fx


class GatewayError(Enum):
    """Why a client gets no replica's answer: code, HTTP status."""

    NOT_READY = ("not_ready", 503)
    NO_ROUTE = ("no_route", 404)
    NOT_RUN = ("not_run", 503)
    ENDING = ("ending", 503)
    MAY_HAVE_RUN = ("may_have_run", 502)
    TIMED_OUT = ("timed_out", 504)

    @property
    def code(self) -> str:
        """The name that the answer's body gives."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.value[1]

    @property
    def says_not_run(self) -> bool:
        """Whether the client may rely on it that the request has not run and never will."""
        return self.status == 503


def error_answer(
    http_id: int, error: GatewayError, headers: dict[str, str], retry_after_s: float = 0.0
) -> fx.HttpRespond:
    """Return the answer; ``retry_after_s`` above 0 becomes ``Retry-After``, fractions too."""
    lines = dict(headers)
    if retry_after_s > 0:
        lines["retry-after"] = f"{retry_after_s:.2f}"
    body = json.dumps({"error": {"code": error.code}}).encode()
    return fx.HttpRespond(http_id, error.status, body, lines)
