"""Fakes for the controller's tests: the link to the core, replicas, and the platform."""

import json

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent
from rooklug.model import topics
from rooklug.model.internal_events import TopicChanged
from rooklug.wire.generated.control.ttypes import (
    ListedReplica,
    RoleGrant,
    VersionMark,
)

PLATFORM = "127.0.9.1:80"
OWN_ADDRESS = "127.0.9.2:7000"
ALL_ROLES = (
    topics.ROLE_PLACER,
    topics.ROLE_PLATFORM_WATCHER,
    *(f"{topics.ROLE_PROBER_PREFIX}{shard}" for shard in range(topics.PROBER_SHARDS)),
)
LEASE_S = 3.0
ROUTES = {"banter": ("small", "interactive"), "dispute": ("large", "interactive")}


@attrs.frozen
class Publication:
    at: float
    topic: str
    body: object
    decisions: tuple
    token: tuple


class FakeLink(BaseComponent):
    """A link whose grants and topics the test sets; it records the publications."""

    name = "core-link"

    def __init__(self):
        self.grants = {}
        self.until = {}
        self.bodies = {}
        self.owners = {}
        self.publications = []
        self.nodes = []
        self.events = []
        self.accept_delay_s = 0.0
        self.now = 0.0

    def handle(self, event, now):
        self.now = now
        if not isinstance(event, ev.TimerFired):
            return []
        events, self.events = self.events, []
        return [EmitEvent(event) for event in events]

    def set_grant(self, role_key, counter, until):
        token = VersionMark(epoch=1, counter=counter)
        self.grants[role_key] = RoleGrant(role_key=role_key, token=token, lease_ms=3000)
        self.until[role_key] = until

    def set_body(self, topic, body):
        self.bodies[topic] = body
        self.events.append(TopicChanged(topic, VersionMark(epoch=1, counter=1), body))

    def version(self, topic):
        return VersionMark(epoch=1, counter=1)

    def body(self, topic):
        return self.bodies.get(topic)

    def grant(self, role_key, now):
        return self.grants.get(role_key) if now < self.until.get(role_key, 0.0) else None

    def grant_until(self, role_key, now):
        return self.until.get(role_key, 0.0)

    def publish(self, topic, role_key, body, decisions, now):
        token = self.grants[role_key].token
        key = (token.epoch, token.counter)
        self.publications.append(Publication(now, topic, body, tuple(decisions), key))
        self.set_body(topic, body)
        return [fx.StartTimer("flush-link", 0.0)]

    def published_sequence(self, topic):
        return len([p for p in self.publications if p.topic == topic])

    def accepted_sequence(self, topic):
        latest = self.now - self.accept_delay_s
        return len([p for p in self.publications if p.topic == topic and p.at <= latest])

    def members(self):
        return self.nodes

    def role_owner(self, role_key):
        return self.owners.get(role_key)


@attrs.define
class FakeReplica:
    replica_id: str
    address: str
    region: str
    zone: str
    incarnation: str = "a"
    units: float = 1.0
    load_s: float = 2.0
    unresponsive: bool = False
    stalled: bool = False
    lost_answers: int = 0
    invalid_answer: object = None
    rejects_loads: bool = False
    cached_parts: int = 3
    highest_token: tuple = (0, 0)
    models: dict = attrs.field(factory=dict)
    orders: list = attrs.field(factory=list)
    reports_given: int = 0

    def restart(self):
        self.incarnation += "'"
        self.models = {}
        self.cached_parts = 0

    def state(self, model, now):
        ready_at = self.models.get(model)
        if ready_at is None:
            return ""
        return "loaded" if now >= ready_at else "loading"

    def answer(self, method, path, body, now):
        """Return (status, body), or None if the replica doesn't answer."""
        if self.unresponsive:
            return None
        if path == "/api/report":
            self.reports_given += 1
            return (
                200,
                self.invalid_answer if self.invalid_answer is not None else self.report(now),
            )
        return self.order(path, json.loads(body), now)

    def order(self, path, order, now):
        self.orders.append((now, path, order["model"], order["order_id"], tuple(order["token"])))
        if tuple(order["token"]) < self.highest_token:
            stale = {"error": {"code": "stale_token", "highest": list(self.highest_token)}}
            return (409, json.dumps(stale).encode())
        self.highest_token = tuple(order["token"])
        if self.rejects_loads:
            return (507, b'{"error":{"code":"no_room"}}')
        if path == "/api/load":
            ready_at = float("inf") if self.stalled else now + self.load_s
            self.models.setdefault(order["model"], ready_at)
        else:
            self.models.pop(order["model"], None)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return None
        return (202, b'{"accepted":true}')

    def report(self, now):
        models = [
            {"model": model, "state": self.state(model, now), "age_s": 1.0}
            for model in sorted(self.models)
        ]
        return json.dumps(
            {
                "replica_id": self.replica_id,
                "incarnation": self.incarnation,
                "kind": "model",
                "region": self.region,
                "zone": self.zone,
                "resource": "gpu-large",
                "resource_units": self.units,
                "models": models,
                "running": 0,
                "queued": 0,
                "concurrency": 8,
                "tokens_per_s": 0.0,
                "cached_parts": self.cached_parts,
                "highest_token": list(self.highest_token),
                "cold": False,
            }
        ).encode()


@attrs.define
class FakePlatform:
    version: int = 1
    replicas: dict = attrs.field(factory=dict)
    leaving: set = attrs.field(factory=set)
    unlisted: set = attrs.field(factory=set)
    invalid_answer: object = None
    unresponsive: bool = False

    def body(self):
        if self.invalid_answer is not None:
            return self.invalid_answer
        listed = [r for r in self.replicas.values() if r.replica_id not in self.unlisted]
        entries = [
            {
                "replica_id": r.replica_id,
                "address": r.address,
                "kind": "model",
                "backend": "",
                "region": r.region,
                "zone": r.zone,
                "resource": "gpu-large",
                "resource_units": r.units,
                "leaving": r.replica_id in self.leaving,
            }
            for r in listed
        ]
        return json.dumps({"version": self.version, "replicas": entries}).encode()


def listed(replica):
    return ListedReplica(
        replica_id=replica.replica_id,
        address=replica.address,
        kind="model",
        backend="",
        region=replica.region,
        zone=replica.zone,
        resource="gpu-large",
        resource_units=replica.units,
        leaving=False,
    )
