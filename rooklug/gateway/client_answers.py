"""Builds the responses that a front gives its clients: a replica's own, or a rejection.

A rejection is sent without delay. If the request has not run, it carries a ``Retry-After`` that is
within the time for which clients keep retrying.
"""

from rooklug.engine import effects as fx
from rooklug.gateway.answers import GatewayError, error_answer
from rooklug.gateway.protocols import HeaderNames
from rooklug.gateway.requests import InboundRequest, end_to_end

MIN_RETRY_AFTER_S = 0.3
RETRY_AFTER_SHARE = 0.3
"""Share of the client's deadline that ``Retry-After`` may take. Clients wait for at most a third of
their deadline before they retry, so it must be less than that."""


class ClientAnswers:
    """Builds responses; those of a draining front ask clients to close their connections.

    ``is_draining`` is set by the executor when the process is asked to stop.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self.is_draining = False

    def headers(self, headers: dict[str, str]) -> dict[str, str]:
        """Return the headers of a replica's response that are forwarded to the client."""
        passed = end_to_end(headers)
        if self.is_draining:
            passed["connection"] = "close"
        return passed

    def refusal(
        self, request: InboundRequest, error: GatewayError, retry_after_s: float = 0.0
    ) -> fx.HttpRespond:
        """Return the front's own error response to a request."""
        headers = self.headers({})
        if request.request_id:
            headers[self._names.request_id] = request.request_id
        if error.says_not_run:
            retry_after_s = max(retry_after_s, MIN_RETRY_AFTER_S)
            if request.deadline_s is not None:
                retry_after_s = min(retry_after_s, request.deadline_s * RETRY_AFTER_SHARE)
        return error_answer(request.http_id, error, headers, retry_after_s)
