"""Test harness of one front in virtual time: fake core link, scripted replicas, kept effects."""

import json
from random import Random

import cattrs
from expression import Ok

from rooklug.config.document import Configuration
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent
from rooklug.engine.composite import CompositeReducer
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.front.build import build_front_components
from rooklug.front.requests import REQUEST_ID_HEADER
from rooklug.model import topics
from rooklug.model.internal_events import TopicChanged
from rooklug.model.settings import NodeSettings
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    ListedReplica,
    LoadedReplica,
    MembersBody,
    NodeRecord,
    PlanBody,
    ReplicasBody,
    RoleOwner,
    RouteWeight,
    VersionMark,
    ZonesBody,
)

DOCUMENT = {
    "regions": {
        "north": {"zones": ["n1", "n2"], "round_trip_ms": {"south": 40.0}},
        "south": {"zones": ["s1"], "round_trip_ms": {"north": 40.0}},
    },
    "models": {
        "talk": {
            "latency_classes": {"fast": "continental"},
            "resources": {"gpu": {"units": 1, "tokens_per_s": 1000.0}},
        },
        "small": {
            "latency_classes": {"fast": "continental"},
            "resources": {"gpu": {"units": 1, "tokens_per_s": 1000.0}},
        },
    },
    "routes": {
        "banter": {"kind": "model", "model": "talk", "latency_class": "fast"},
        "chat": {"kind": "model", "model": "small", "latency_class": "fast"},
        "urgent": {"kind": "model", "model": "talk", "latency_class": "fast", "priority": 5},
        "bound": {
            "kind": "model",
            "model": "talk",
            "latency_class": "fast",
            "home_regions": ["south"],
        },
        "home": {
            "kind": "model",
            "model": "talk",
            "latency_class": "fast",
            "home_regions": ["north"],
        },
        "results": {"kind": "once", "backend": "board"},
    },
}


def read_document(data: bytes):
    return Ok(cattrs.structure(json.loads(data), Configuration))


def listed(name: str, zone: str, region: str, kind: str = "model", leaving: bool = False):
    return ListedReplica(
        replica_id=name,
        address=f"127.0.0.9:{9000 + sum(name.encode())}",
        kind=kind,
        backend="board" if kind == "once" else "",
        region=region,
        zone=zone,
        resource="gpu",
        resource_units=1.0,
        leaving=leaving,
    )


def loaded(name: str, cold: bool = False, incarnation: str = "1", healthy: bool = True, **changes):
    values = {
        "loaded_models": ["talk"],
        "intended_models": ["talk"],
        "concurrency": 4,
        **changes,
    }
    return LoadedReplica(
        replica_id=name, incarnation=incarnation, cold=cold, healthy=healthy, **values
    )


def cell(source: str, destination: str, preference: int = 0, weight: float = 1.0, homes=()):
    return RouteWeight(
        model="talk",
        latency_class="fast",
        source_region=source,
        destination_region=destination,
        preference=preference,
        weight=weight,
        home_regions=list(homes),
    )


def node(name: str, zone: str, region: str, ready: bool = True, draining: bool = False):
    address = f"127.0.0.{20 + len(name)}:{8000 + sum(name.encode())}"
    return NodeRecord(
        node_id=name,
        role="front",
        zone=zone,
        region=region,
        internal_address=address,
        http_address=address,
        incarnation="1",
        ready=ready,
        draining=draining,
        configuration=VersionMark(1, 1),
    )


class FakeCoreLink:
    """Stands in for ``CoreLink``: owner of the placer role, and the last reported readiness."""

    def __init__(self) -> None:
        self.owner = RoleOwner("placer", "c1", "127.0.0.30:7000", VersionMark(1, 1))
        self.ready: bool | None = None
        self.draining = False

    def role_owner(self, role_key: str):
        return self.owner if role_key == "placer" else None

    def set_ready(self, ready: bool) -> list:
        self.ready = ready
        return []

    def set_draining(self, draining: bool) -> list:
        self.draining = draining
        return []


class TopicSource(BaseComponent):
    """Emits ``event`` to the other components when its timer fires."""

    name = "topic-source"
    event: TopicChanged

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        return [EmitEvent(self.event)] if isinstance(event, ev.TimerFired) else []


class FrontHarness:
    """One front node, by default in zone n1 of region north.

    ``timers`` are expiry times by name, ``calls`` all calls sent to replicas by id, and ``effects``
    everything that the front has returned. ``versions`` counts the bodies published per topic.
    """

    def __init__(self, seed: int = 1, zone: str = "n1", region: str = "north") -> None:
        self.settings = NodeSettings(
            "f1", "front", zone, region, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:1",
            "127.0.0.1:2", (),
        )  # fmt: skip
        context = ProcessContext("f1", "i1", Random(seed), Identifiers())
        self.core_link = FakeCoreLink()
        self.components = build_front_components(
            self.settings, context, self.core_link, read_document
        )
        self.by_name = {part.name: part for part in self.components}
        self.source = TopicSource()
        self.reducer = CompositeReducer([self.source, *self.components])
        self.now = 100.0
        self.timers: dict[str, float] = {}
        self.calls: dict[int, fx.HttpCall] = {}
        self.versions: dict[str, int] = {}
        self.next_http_id = 1000
        self.effects: list[fx.Effect] = []
        self.feed(ev.Started())

    def feed(self, event: ev.Event) -> list[fx.Effect]:
        effects = self.reducer.handle(event, self.now)
        for effect in effects:
            if isinstance(effect, fx.StartTimer):
                self.timers[effect.name] = self.now + effect.delay_s
            elif isinstance(effect, fx.HttpCall):
                self.calls[effect.call_id] = effect
        self.effects.extend(effects)
        return effects

    def advance(self, seconds: float) -> list[fx.Effect]:
        """Advance virtual time by ``seconds`` and fire due timers in order; return the effects."""
        until = self.now + seconds
        effects = []
        while self.timers:
            due, name = min((due, name) for name, due in self.timers.items())
            if due > until:
                break
            del self.timers[name]
            self.now = max(self.now, due)
            effects.extend(self.feed(ev.TimerFired(name)))
        self.now = until
        return effects

    def topic(self, topic: str, body, version: VersionMark | None = None) -> list[fx.Effect]:
        self.versions[topic] = self.versions.get(topic, 0) + 1
        self.source.event = TopicChanged(
            topic, version or VersionMark(1, self.versions[topic]), body
        )
        return self.feed(ev.TimerFired(f"{self.source.name}/now"))

    def configure(self, **changes) -> list[fx.Effect]:
        document = json.dumps({**DOCUMENT, **changes}).encode()
        version = self.versions.get(topics.CONFIGURATION, 0) + 1
        return self.topic(topics.CONFIGURATION, ConfigurationBody(version, "d", document))

    def members(self, *nodes: NodeRecord) -> list[fx.Effect]:
        return self.topic(topics.MEMBERS, MembersBody(list(nodes), []))

    def drain_zones(self, *zones: str) -> list[fx.Effect]:
        return self.topic(topics.ZONES, ZonesBody(list(zones)))

    def replicas(self, *replicas: ListedReplica) -> list[fx.Effect]:
        return self.topic(topics.REPLICAS, ReplicasBody(list(replicas)))

    def plan(self, replicas, matrix=()) -> list[fx.Effect]:
        return self.topic(topics.PLAN, PlanBody(1, list(replicas), list(matrix), "test"))

    def set_up_site(self, cold: bool = False) -> None:
        """Publish two replicas in north and one in south; each region prefers its own."""
        self.configure()
        self.members(node("f1", "n1", "north"), node("f22", "n2", "north"),
                     node("f333", "s1", "south"))  # fmt: skip
        self.replicas(
            listed("a", "n1", "north"), listed("b", "n2", "north"), listed("c", "s1", "south")
        )
        matrix = [cell("north", "north"), cell("north", "south", 1), cell("south", "south"),
                  cell("south", "north", 1)]  # fmt: skip
        self.plan([loaded(name, cold) for name in "abc"], matrix)

    def generate(self, route: str = "banter", headers=None, **body) -> int:
        """Send a request and return its HTTP id; the effects are kept in ``last``."""
        self.next_http_id += 1
        http_id = self.next_http_id
        all_headers = {
            "x-rooklug-route": route,
            "x-rooklug-request-id": f"r{http_id}",
            **(headers or {}),
        }
        arrived = ev.HttpRequestArrived(
            http_id, "POST", "/v1/generate", {}, all_headers, b"", body_withheld=True
        )
        self.last = self.feed(arrived)
        if any(isinstance(effect, fx.ReadRequestBody) for effect in self.last):
            document = {"prompt_tokens": 80, "max_tokens": 20, "prompt_parts": [], **body}
            self.last = self.feed(ev.HttpRequestBody(http_id, json.dumps(document).encode()))
        return http_id

    def call(self, effects=None) -> fx.HttpCall:
        """Return the only call to a replica among ``effects``, by default those in ``last``."""
        (found,) = [
            effect
            for effect in (self.last if effects is None else effects)
            if isinstance(effect, fx.HttpCall)
        ]
        return found

    def lines(self, call: fx.HttpCall, *pieces: str, start: int = 0) -> list[fx.Effect]:
        """Let the replica send one line for each piece, with indices from ``start`` on."""
        request_id = json.loads(call.body)["request_id"]
        effects = []
        for index, piece in enumerate(pieces, start):
            line = json.dumps({"request_id": request_id, "index": index, "piece": piece})
            effects += self.feed(ev.HttpBodyChunk(call.call_id, line.encode() + b"\n"))
        return effects

    def begin(
        self, call: fx.HttpCall, status: int = 200, headers: dict[str, str] | None = None
    ) -> list[fx.Effect]:
        return self.feed(ev.HttpResponseStarted(call.call_id, status, headers or {}))

    def end(self, call: fx.HttpCall, count: int) -> list[fx.Effect]:
        request_id = json.loads(call.body)["request_id"]
        line = {"request_id": request_id, "index": count, "end": True, "pieces": count}
        effects = self.feed(ev.HttpBodyChunk(call.call_id, json.dumps(line).encode() + b"\n"))
        return effects + self.feed(ev.HttpResponseCompleted(call.call_id))

    def complete(self, call: fx.HttpCall, *pieces: str) -> list[fx.Effect]:
        """Let the replica answer a call completely."""
        return [
            *self.begin(call),
            *self.lines(call, *pieces),
            *self.end(call, len(pieces)),
        ]

    def refuse(
        self, call: fx.HttpCall, code: str = "busy", *, identified: bool = True
    ) -> list[fx.Effect]:
        """Let the replica refuse a call as not run, with an error code and the request's id."""
        body = json.dumps({"error": {"code": code}}).encode()
        headers = {REQUEST_ID_HEADER: call.headers[REQUEST_ID_HEADER]} if identified else {}
        return [
            *self.begin(call, 503, headers),
            *self.feed(ev.HttpBodyChunk(call.call_id, body)),
            *self.feed(ev.HttpResponseCompleted(call.call_id)),
        ]

    def fail(self, call: fx.HttpCall, state=ev.SendState.NOT_SENT) -> list[fx.Effect]:
        return self.feed(ev.HttpFailed(call.call_id, "scripted", state))

    def replica_of(self, call: fx.HttpCall) -> str:
        for replica in "abcdefghi":
            if call.address == listed(replica, "", "").address:
                return replica
        raise AssertionError(call.address)


def answer_of(effects) -> fx.HttpRespond:
    """Return the only complete answer to a caller among ``effects``."""
    (answer,) = [effect for effect in effects if isinstance(effect, fx.HttpRespond)]
    return answer


def document_of(effects) -> dict:
    return json.loads(answer_of(effects).body)


def kinds(effects) -> list[str]:
    return [type(effect).__name__ for effect in effects]
