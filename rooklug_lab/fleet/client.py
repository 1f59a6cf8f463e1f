"""HTTP to processes of a fleet, and waiting for conditions."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

NO_ANSWER = 0
CONNECTIONS = 200
POLL_S = 0.05


class ConditionNotMetError(Exception):
    """A condition did not come true in time."""


@attrs.frozen
class Reply:
    """An HTTP answer; status 0 means that there was none."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body, None if it isn't JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


class FleetClient:
    """A small HTTP client that never raises on a lost answer."""

    def __init__(self) -> None:
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=CONNECTIONS, max_body_size=1 << 30
        )

    async def request(
        self,
        address: str,
        path: str,
        method: str = "GET",
        body: Any = None,
        timeout_s: float = 5.0,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Make a request; ``body`` is JSON or bytes."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            headers=headers,
            body=None if method == "GET" else data,
            request_timeout=timeout_s,
            connect_timeout=timeout_s,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except Exception as problem:
            return Reply(NO_ANSWER, {}, str(problem).encode())
        if response.code == 599:
            return Reply(NO_ANSWER, {}, str(response.error).encode())
        headers = {name.lower(): value for name, value in response.headers.get_all()}
        return Reply(response.code, headers, response.body)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float, what: str
) -> float:
    """Wait until ``condition`` holds; return the seconds that took.

    Raises
    ------
    ConditionNotMetError
        It did not hold within ``timeout_s``.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not await condition():
        if loop.time() - started > timeout_s:
            raise ConditionNotMetError(f"{what}: not within {timeout_s:.0f} s")
        await asyncio.sleep(POLL_S)
    return loop.time() - started


async def is_listening(address: str) -> bool:
    """Return whether a process takes connections at ``address``."""
    ip, _, port = address.partition(":")
    try:
        _, writer = await asyncio.open_connection(ip, int(port))
    except OSError:
        return False
    writer.close()
    return True
