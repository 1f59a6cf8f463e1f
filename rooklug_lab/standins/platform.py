"""A stand-in for the platform: the list of replicas with long poll, and readiness checks."""

from typing import Any

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import ProcessContext
from rooklug_lab.standins.http import json_object, respond, respond_error
from rooklug_lab.standins.records import ListChange, PlatformJournal, ReadyCheck
from rooklug_lab.standins.settings import ListedReplicaSettings, PlatformSettings

_READY = "ready"
_POLL = "poll/"
READY_DEADLINE_S = 1.0
LONGEST_POLL_MS = 30_000


class Platform(BaseComponent):
    """Lists replicas, marks those that leave, asks fronts whether they are ready."""

    name = "platform"
    http_prefixes = ("/platform/", "/lab/")

    def __init__(
        self,
        settings: PlatformSettings,
        context: ProcessContext,
        journal: PlatformJournal | None = None,
    ) -> None:
        self.settings = settings
        self.context = context
        self.journal = journal or PlatformJournal()
        self.version = 1
        self.replicas = {entry.replica_id: entry for entry in settings.replicas}
        self._waiting: dict[int, None] = {}
        self._checks: dict[int, str] = {}

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        if isinstance(event, ev.Started):
            return [fx.StartTimer(_READY, self.settings.ready_interval_s)]
        if isinstance(event, ev.HttpRequestArrived):
            return self._arrived(event, now)
        if isinstance(event, ev.HttpRequestClosed):
            self._waiting.pop(event.request_id, None)
            return [fx.CancelTimer(_POLL + str(event.request_id))]
        if isinstance(event, ev.TimerFired):
            return self._timer(event.name)
        if isinstance(event, ev.HttpAnswered):
            return self._checked(event.call_id, event.status, now)
        if isinstance(event, ev.HttpFailed):
            return self._checked(event.call_id, 0, now)
        if isinstance(event, ev.StopRequested):
            return [fx.StopProcess(0, "asked to stop")]
        return []

    def add(self, entry: ListedReplicaSettings, now: float) -> list[fx.Effect]:
        """List a replica, or replace its entry."""
        self.replicas[entry.replica_id] = entry
        return self._changed("add", entry.replica_id, now)

    def mark_leaving(self, replica_id: str, leaving: bool, now: float) -> list[fx.Effect]:
        """Show a replica as leaving, or no more so."""
        entry = attrs.evolve(self.replicas[replica_id], leaving=leaving)
        self.replicas[replica_id] = entry
        return self._changed("leaving" if leaving else "staying", replica_id, now)

    def remove(self, replica_id: str, now: float) -> list[fx.Effect]:
        """Take a replica off the list."""
        del self.replicas[replica_id]
        return self._changed("remove", replica_id, now)

    def _changed(self, kind: str, replica_id: str, now: float) -> list[fx.Effect]:
        self.version += 1
        self.journal.changes.append(ListChange(now, self.version, kind, replica_id))
        waiting = list(self._waiting)
        self._waiting.clear()
        effects: list[fx.Effect] = []
        for request_id in waiting:
            effects += [fx.CancelTimer(_POLL + str(request_id)), self._list(request_id)]
        return effects

    def _arrived(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        if event.path == "/platform/replicas":
            return self._poll(event)
        if event.path.startswith("/lab/"):
            return self._lab(event, now)
        return [respond_error(event.request_id, 404, "unknown_path")]

    def _poll(self, event: ev.HttpRequestArrived) -> list[fx.Effect]:
        after = _whole_number(event.query.get("after", "0"))
        wait_ms = min(_whole_number(event.query.get("wait_ms", "0")), LONGEST_POLL_MS)
        if after != self.version or wait_ms <= 0:
            return [self._list(event.request_id)]
        self._waiting[event.request_id] = None
        return [fx.StartTimer(_POLL + str(event.request_id), wait_ms / 1000)]

    def _list(self, request_id: int) -> fx.HttpRespond:
        replicas = [attrs.asdict(self.replicas[name]) for name in sorted(self.replicas)]
        return respond(request_id, 200, {"version": self.version, "replicas": replicas})

    def _timer(self, name: str) -> list[fx.Effect]:
        if name.startswith(_POLL):
            request_id = int(name.removeprefix(_POLL))
            if request_id not in self._waiting:
                return []
            del self._waiting[request_id]
            return [self._list(request_id)]
        again = fx.StartTimer(_READY, self.settings.ready_interval_s)
        return [*map(self._check, self.settings.front_addresses), again]

    def _check(self, address: str) -> fx.HttpCall:
        call_id = self.context.identifiers.next()
        self._checks[call_id] = address
        return fx.HttpCall(call_id, address, "GET", "/v1/ready", b"", READY_DEADLINE_S)

    def _checked(self, call_id: int, status: int, now: float) -> list[fx.Effect]:
        address = self._checks.pop(call_id, None)
        if address is not None:
            self.journal.ready_checks.append(ReadyCheck(now, address, status))
        return []

    def _lab(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        if event.path == "/lab/journal":
            return [respond(event.request_id, 200, attrs.asdict(self.journal))]
        body = json_object(event.body) or {}
        done = respond(event.request_id, 200, {"version": self.version + 1})
        if event.path == "/lab/add":
            return [done, *self.add(ListedReplicaSettings(**body), now)]
        replica_id = str(body.get("replica_id", ""))
        if replica_id not in self.replicas:
            return [respond_error(event.request_id, 404, "unknown_replica")]
        return self._lab_replica(event, replica_id, body, done, now)

    def _lab_replica(
        self,
        event: ev.HttpRequestArrived,
        replica_id: str,
        body: dict[str, Any],
        done: fx.HttpRespond,
        now: float,
    ) -> list[fx.Effect]:
        if event.path == "/lab/leaving":
            leaving = bool(body.get("leaving", True))
            return [done, *self.mark_leaving(replica_id, leaving, now)]
        if event.path == "/lab/remove":
            return [done, *self.remove(replica_id, now)]
        return [respond_error(event.request_id, 404, "unknown_path")]


def _whole_number(text: str) -> int:
    return int(text) if text.isdigit() else 0
