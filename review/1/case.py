"""A late surplus of a rejection must not make a request run twice.

Two kinds of rejection are tried: 503 of replicas that are full, on a route with two attempts, and
421 of replicas that were started again at their address, on a route with one attempt.
"""

import asyncio
import contextlib
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from stage import (  # noqa: E402
    HOST,
    CouldNotRunError,
    Record,
    Stage,
    call,
    document,
    entry,
    play,
    read_message,
    response,
    route,
    service,
)

ROUNDS = 6
LIST_LAG_S = 0.8
SERVICE = "ledger-api"
ONCE, TWO_ATTEMPTS = "/lookup/slip", "/lookup-2/slip"


class Replica:
    """Runs what it is sent, or rejects it while it is full.

    With ``surplus``, the answer of a rejection is sent a second time: late, in the place where the
    next answer on that connection is due.
    """

    def __init__(self, identifier: str, record: Record, *, surplus: bool) -> None:
        self.identifier, self._record, self._surplus = identifier, record, surplus
        self._open: set[asyncio.StreamWriter] = set()
        self.full = False
        self.ran: list[str] = []

    def start_again(self) -> None:
        """End and start again at once: open connections break, a new incarnation listens."""
        for writer in self._open:
            writer.transport.abort()
        self._record(self.identifier, f"has ended; {self.identifier}r listens at its address")
        self.identifier += "r"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._open.add(writer)
        late = b""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while message := await read_message(reader):
                _, headers, _ = message
                request_id = headers.get("x-request-id", "")
                if late:
                    self._record(
                        self.identifier, f"sends the surplus answer while {request_id} is due"
                    )
                    writer.write(late)
                    late = b""
                answer = await self._answer(request_id, headers)
                writer.write(answer)
                await writer.drain()
                if self._surplus and b"X-Not-Executed" in answer:
                    late = answer
        self._open.discard(writer)
        writer.close()

    async def _answer(self, request_id: str, headers: dict[str, str]) -> bytes:
        lines = {"X-Request-Id": request_id, "Keep-Alive": "timeout=5"}
        if headers.get("x-expected-instance", self.identifier) != self.identifier:
            self._record(self.identifier, f"is not the one named, rejects {request_id} with 421")
            return response(421, b"", {**lines, "X-Not-Executed": "1"})
        if self.full:
            self._record(self.identifier, f"is full, rejects {request_id} with 503, X-Not-Executed")
            return response(503, b"", {**lines, "X-Not-Executed": "1"})
        self.ran.append(request_id)
        self._record(self.identifier, f"runs {request_id}")
        await asyncio.sleep(0.02)
        return response(200, b"slip", {**lines, "X-Response-Signature": f"sig.{request_id}"})


class Lookups:
    """A client that looks up payslips one at a time, and what it was answered."""

    def __init__(self, front: str, record: Record) -> None:
        self._front, self._record = front, record
        self.answers: dict[str, int | None] = {}

    async def send(self, request_id: str, path: str = ONCE) -> int | None:
        """Send one lookup; return the status, None without a complete answer."""
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Request-Deadline": "2000"}
        answer = await call(self._front, "POST", path, b"body", headers, timeout_s=2.5)
        status = self.answers[request_id] = answer[0] if answer else None
        self._record("client", f"{request_id} is answered with {status}")
        return status


async def start_replicas(stage: Stage, *, surplus: bool) -> list[Replica]:
    """Start a replica in each zone and put them on the platform's list."""
    replicas = []
    for number, machine in enumerate(stage.machines):
        replica = Replica(f"i-{number}", stage.record, surplus=surplus)
        address = stage.replica_address()
        await stage.serve(address, replica.serve)
        stage.listed.append(entry(replica.identifier, SERVICE, address, machine.zone))
        replicas.append(replica)
    return replicas


async def reject_while_full(lookups: Lookups, replicas: list[Replica], number: int) -> None:
    """All replicas are full during one lookup, and not during the next one."""
    for replica in replicas:
        replica.full = True
    await lookups.send(f"while-full-{number}", TWO_ATTEMPTS)
    for replica in replicas:
        replica.full = False
    await asyncio.sleep(0.1)
    await lookups.send(f"lookup-{number}", TWO_ATTEMPTS)
    await asyncio.sleep(0.3)


async def reject_while_replaced(
    stage: Stage, lookups: Lookups, replicas: list[Replica], number: int
) -> None:
    """All replicas start again; one lookup comes before the list shows it, the next one after."""
    for replica in replicas:
        replica.start_again()
    await lookups.send(f"while-replaced-{number}")
    await asyncio.sleep(LIST_LAG_S)
    stage.listed[:] = [
        {**listed, "identifier": replica.identifier}
        for listed, replica in zip(stage.listed, replicas, strict=True)
    ]
    await asyncio.sleep(1.3)  # the core reads the list about once a second
    await lookups.send(f"after-{number}")
    await asyncio.sleep(0.3)


async def case(record: Record, *, trouble: bool) -> bool:
    """Return whether no request ran more than once."""
    async with Stage(record) as stage:
        replicas = await start_replicas(stage, surplus=trouble)
        routes = [
            route("slip-lookup", "/lookup/", SERVICE),
            route("slip-lookup-2", "/lookup-2/", SERVICE, attempts=2),
        ]
        if await stage.configure(document(1, routes, [service(SERVICE)]), 0) != 200:
            raise CouldNotRunError("the first configuration was not acknowledged")
        await stage.until_ready()
        await asyncio.sleep(2.0)
        lookups = Lookups(stage.machines[0].address("front"), record)
        if await lookups.send("warm-up") != 200:
            raise CouldNotRunError("the site does not serve")
        for number in range(ROUNDS):
            await reject_while_full(lookups, replicas, number)
        for number in range(ROUNDS):
            await reject_while_replaced(stage, lookups, replicas, number)
        ran = [request_id for replica in replicas for request_id in replica.ran]
        twice = sorted({request_id for request_id in ran if ran.count(request_id) > 1})
        refused = sorted(n for n, status in lookups.answers.items() if status == 503 and n in ran)
        record("script", f"TWICE: ran more than once: {twice}")
        record("script", f"REFUSED: ran, yet answered with 503: {refused}")
        return not twice


if __name__ == "__main__":
    sys.exit(play(case, FOLDER))
