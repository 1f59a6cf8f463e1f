"""HTTP client of the operators' API: tries several fronts until an answer or the time limit.

Orders are idempotent and safe to retry: a change is identified by its version and bytes, a zone
order by its operation id. Without an answer, the result says whether an attempt may have reached
a front.
"""

import asyncio
import itertools
import json
from collections.abc import Iterator
from typing import Any

import attrs
from expression import Error, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

CONNECT_TIMEOUT_S = 1.0
ATTEMPT_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.25
_RETRIED_STATUSES = (503, 504)
_STATUS_MAYBE_TAKEN = 504
# Only the message of tornado's timeout tells a connect timeout from a later one.
_CONNECT_TIMEOUT_MESSAGE = "Timeout while connecting"
_MAX_BODY_BYTES = 64 * 1024 * 1024


@attrs.frozen
class OperatorRequest:
    """An order or query; ``wait_s`` is how long the front may delay its answer (long poll)."""

    method: str
    path: str
    body: bytes | None = None
    headers: dict[str, str] = attrs.field(factory=dict)
    wait_s: float = 0.0


@attrs.frozen
class OperatorAnswer:
    """A front's final answer: any status except 503 and 504, which are retried."""

    node: str
    status: int
    headers: dict[str, str]
    body: bytes

    def document(self) -> dict[str, Any]:
        """Return the body as a JSON object, or {} if it is not one."""
        try:
            document = json.loads(self.body)
        except ValueError:
            return {}
        return document if isinstance(document, dict) else {}

    def error_code(self) -> str:
        """Return the ``code`` of the error in the body, or "" if there is none."""
        error = self.document().get("error")
        return str(error.get("code", "")) if isinstance(error, dict) else ""


@attrs.frozen
class NoAnswer:
    """No front answered in time; ``maybe_taken``: an attempt may have reached a front."""

    maybe_taken: bool
    reasons: tuple[str, ...]


@attrs.define
class _Attempts:
    maybe_taken: bool = False
    reasons: dict[str, str] = attrs.field(factory=dict)


class OperatorClient:
    """Sends requests to the fronts ``nodes``; ``timeout_s`` limits all attempts of a request."""

    def __init__(self, nodes: tuple[str, ...], timeout_s: float = 15.0) -> None:
        self.nodes = nodes
        self._timeout_s = timeout_s
        self._http = SimpleAsyncHTTPClient(force_instance=True, max_body_size=_MAX_BODY_BYTES)

    async def send(self, request: OperatorRequest) -> Result[OperatorAnswer, NoAnswer]:
        """Send to the nodes in turn until one gives a final answer or the time is up."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout_s + request.wait_s
        attempts = _Attempts()
        for node in self._nodes_in_turn():
            remaining_s = deadline - loop.time()
            if remaining_s <= 0:
                break
            answer = await self._attempt(node, request, remaining_s, attempts)
            if answer is not None:
                return Ok(answer)
            if node == self.nodes[-1]:
                await asyncio.sleep(min(RETRY_DELAY_S, max(deadline - loop.time(), 0.0)))
        reasons = tuple(f"{node}: {reason}" for node, reason in attempts.reasons.items())
        return Error(NoAnswer(attempts.maybe_taken, reasons))

    async def send_once(self, node: str, request: OperatorRequest) -> Result[OperatorAnswer, str]:
        """Send to one node without retries; an error is the reason of the failure."""
        attempts = _Attempts()
        answer = await self._attempt(node, request, self._timeout_s, attempts)
        return Ok(answer) if answer is not None else Error(attempts.reasons[node])

    def _nodes_in_turn(self) -> Iterator[str]:
        return itertools.cycle(self.nodes)

    async def _attempt(
        self, node: str, request: OperatorRequest, remaining_s: float, attempts: _Attempts
    ) -> OperatorAnswer | None:
        try:
            response = await self._fetch(
                node, request, min(remaining_s, ATTEMPT_TIMEOUT_S + request.wait_s)
            )
        except (OSError, HTTPClientError) as problem:
            attempts.reasons[node] = str(problem)
            attempts.maybe_taken = attempts.maybe_taken or not _is_connect_failure(problem)
            return None
        answer = OperatorAnswer(
            node, response.code, _lower_case_headers(response), response.body or b""
        )
        if response.code not in _RETRIED_STATUSES:
            return answer
        attempts.maybe_taken = attempts.maybe_taken or response.code == _STATUS_MAYBE_TAKEN
        attempts.reasons[node] = f"{response.code} {answer.error_code()}"
        return None

    async def _fetch(self, node: str, request: OperatorRequest, timeout_s: float) -> HTTPResponse:
        return await self._http.fetch(
            HTTPRequest(
                f"http://{node}{request.path}",
                method=request.method,
                body=request.body,
                headers=request.headers,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=timeout_s,
                follow_redirects=False,
                allow_nonstandard_methods=True,
                decompress_response=False,
            ),
            raise_error=False,
        )


def _is_connect_failure(problem: Exception) -> bool:
    if isinstance(problem, HTTPTimeoutError):
        return str(problem.message).startswith(_CONNECT_TIMEOUT_MESSAGE)
    return isinstance(problem, ConnectionRefusedError)


def _lower_case_headers(response: HTTPResponse) -> dict[str, str]:
    return {name.lower(): value for name, value in response.headers.items()}
