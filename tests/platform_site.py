"""A core, a front, a replica and the platform's replica list on loopback, in one event loop."""

import asyncio
import contextlib
import json
import sys
from pathlib import Path
from typing import Any

from tornado import httputil
from tornado.httpserver import HTTPServer

from rooklug.runtime.host import Host
from tests.core_storm import HOST_IP, free_address, free_port

ROOT = Path(__file__).resolve().parent.parent
if str(ROOT / "platform") not in sys.path:
    sys.path.insert(0, str(ROOT / "platform"))

from adapter import main, settings  # noqa: E402

HOST = "h.example"
SERVED_WITHIN_S = 20.0
ANSWERED_WITHIN_S = 10.0
REPLICA_ID = "i-1"
SIGNATURE = "sig.1"


def route(name: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the platform's document to the service ``s``."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 200,
        "priority": 1,
        "service": "s",
        "attempts": 1,
        "home_regions": [],
        **fields,
    }


def document(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a complete configuration of the platform, with the service ``s``."""
    service = {
        "name": "s",
        "health_check_path": "/health",
        "connection_limit": 640,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }
    return {"version": version, "routes": routes, "services": [service], "limits": {}}


def _two_free_ports() -> int:
    """Return the first of two consecutive ports that are both free."""
    while True:
        port = free_port()
        if free_port() == port + 1:
            return port


class Recorder:
    """A replica that answers every request, and the platform's list of that replica."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.request_ids: list[str] = []

    def handle(self, request: httputil.HTTPServerRequest) -> None:
        """Answer a front's request, or the core's request for the replica list."""
        if request.path == "/instances":
            self._answer(request, self._listing(), {})
            return
        request_id = request.headers.get("X-Request-Id", "")
        self.request_ids.append(request_id)
        headers = {"X-Request-Id": request_id, "X-Response-Signature": SIGNATURE}
        self._answer(request, b"ran " + request.body, headers)

    def _listing(self) -> bytes:
        entry = {
            "identifier": REPLICA_ID,
            "service": "s",
            "address": self.address,
            "zone": "a",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
        }
        return json.dumps({"instances": [entry], "next_page_token": None}).encode()

    def _answer(
        self, request: httputil.HTTPServerRequest, body: bytes, headers: dict[str, str]
    ) -> None:
        head = httputil.HTTPHeaders({**headers, "Content-Length": str(len(body))})
        line = httputil.ResponseStartLine("HTTP/1.1", 200, "OK")
        request.connection.write_headers(line, head, body)
        request.connection.finish()


class PlatformSite:
    """Starts all parts; ``addresses`` has the address of each listener by its purpose."""

    def __init__(self) -> None:
        self.addresses = {
            name: free_address() for name in ("front", "ready", "directory", "control", "replica")
        }
        self.recorder = Recorder(self.addresses["replica"])
        self.hosts: list[Host] = []

    async def start(self) -> None:
        """Start the hosts, submit the first configuration, and wait until requests are served."""
        self._server = HTTPServer(self.recorder.handle)
        self._server.listen(int(self.addresses["replica"].rpartition(":")[2]), HOST_IP)
        node = self._settings(_two_free_ports())
        self.hosts = [main.core_host(node), main.front_host(node)]
        for host in self.hosts:
            await host.start()
        await self.change(document(1, [route("pay")]))
        await self._until_served()

    async def stop(self) -> None:
        """Stop the hosts and the replica's server."""
        for host in self.hosts:
            host.kill()
            await host.stopped()
        self._server.stop()
        await self._server.close_all_connections()

    async def change(self, body: dict[str, Any]) -> None:
        """Send a configuration repeatedly until it is acknowledged."""
        data = json.dumps(body).encode()
        head = f"X-Base-Version: {body['version'] - 1}\r\n"
        async with asyncio.timeout(SERVED_WITHIN_S):
            while True:
                answer = await self.post("control", "/api/configuration/replace", data, head)
                if answer.startswith(b"HTTP/1.1 200"):
                    return

    async def post(self, port: str, path: str, body: bytes = b"", head: str = "") -> bytes:
        """Send one request on a new connection; return the complete response."""
        request = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n{head}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return await self.raw(port, request.encode() + body, ANSWERED_WITHIN_S)

    async def raw(self, port: str, data: bytes, wait_s: float = 3.0, ends: bool = False) -> bytes:
        """Send bytes; return all that is received until the connection ends or ``wait_s`` elapses.

        ``ends`` closes the sending side of the connection after the bytes.
        """
        ip, _, number = self.addresses[port].rpartition(":")
        received = b""
        reader, writer = await asyncio.open_connection(ip, int(number))
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(wait_s):
                writer.write(data)
                await writer.drain()
                if ends:
                    writer.write_eof()
                while piece := await reader.read(65536):
                    received += piece
        writer.close()
        return received

    async def _until_served(self) -> None:
        async with asyncio.timeout(SERVED_WITHIN_S):
            while not (await self.pay("first")).startswith(b"HTTP/1.1 200"):
                pass

    async def pay(self, request_id: str) -> bytes:
        """Send a valid client request; return the complete response."""
        head = f"X-Request-Id: {request_id}\r\nX-Request-Deadline: 2000\r\n"
        return await self.post("front", "/pay/1", b"body", head)

    def _settings(self, first_port: int) -> settings.PlatformSettings:
        lines = [
            "node_name=front-a-1",
            f"ip_address={HOST_IP}",
            "zone=a",
            "region=north",
            "zones.a=north",
            f"seed_nodes={self.addresses['control']}",
            f"internal_ports={first_port},{first_port + 1}",
            "first_start=true",
            f"cloud.address={self.addresses['replica']}",
            "bounds.grace_s=8",
            *(f"listen_addresses.{name}={address}" for name, address in self.addresses.items()),
        ]
        return settings.read_settings("\n".join(lines)).ok
