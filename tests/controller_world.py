"""A simulated controller process in virtual time, for the controller's tests."""

import hashlib
import heapq
import json
from itertools import count
from random import Random

from rooklug.controller.build import build_controller_components
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.composite import CompositeReducer
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.model import topics
from rooklug.model.settings import NodeSettings
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    DemandEntry,
    DemandReport,
    NodeRecord,
    ReplicasBody,
    RoleOwner,
    VersionMark,
    ZonesBody,
)
from tests.controller_stand_ins import (
    ALL_ROLES,
    LEASE_S,
    OWN_ADDRESS,
    PLATFORM,
    ROUTES,
    FakeLink,
    FakePlatform,
    FakeReplica,
    listed,
)


class World:
    """One controller process among fakes; ``run(seconds)`` advances virtual time."""

    def __init__(self, replicas, configuration=b"", roles=ALL_ROLES, seed=1, **build):
        self.now = 100.0
        self.link = FakeLink()
        self.platform = FakePlatform(replicas={r.replica_id: r for r in replicas})
        self.by_address = {r.address: r for r in replicas}
        self.replicas = self.platform.replicas
        self.context = ProcessContext("c1", "i1", Random(seed), Identifiers())
        settings = NodeSettings(
            node_id="c1",
            role="controller",
            zone="z",
            region="r",
            listen_internal=OWN_ADDRESS,
            listen_http="127.0.9.2:7001",
            internal_address=OWN_ADDRESS,
            http_address="127.0.9.2:7001",
            seeds=(),
            platform_address=PLATFORM,
        )
        self.components = build_controller_components(settings, self.context, self.link, **build)
        self.reducer = CompositeReducer([self.link, *self.components])
        self.queue = []
        self.order = count()
        self.timers = {}
        self.cancelled = set()
        self.calls = []
        self.logs = []
        self.http = []
        self.answers = {}
        self.frozen_until = 0.0
        self.renewing_leases = True
        self.unreachable_addresses = set()
        self.compute_s = 0.05
        self.latency_s = 0.01
        if configuration:
            self.configure(configuration, 1)
        for role_key in roles:
            self.grant_role(role_key, 1)
        self.deliver(ev.Started())

    def configure(self, document, version):
        digest = hashlib.sha256(document).hexdigest()
        body = ConfigurationBody(version=version, digest=digest, document=document)
        self.link.set_body(topics.CONFIGURATION, body)
        self.flush_soon()

    def drain_zones(self, *zones):
        self.link.set_body(topics.ZONES, ZonesBody(emptied_zones=list(zones)))
        self.flush_soon()

    def grant_role(self, role_key, counter, until=float("inf")):
        self.link.set_grant(role_key, counter, until)
        if role_key == topics.ROLE_PLACER:
            self.link.owners[role_key] = RoleOwner(
                role_key=role_key,
                node_id="c1",
                internal_address=OWN_ADDRESS,
                token=VersionMark(epoch=1, counter=counter),
            )

    def renew_leases(self):
        """Renew all grants every second while ``renewing_leases``."""
        for role_key in self.link.grants if self.renewing_leases else ():
            self.link.until[role_key] = self.now + LEASE_S
        self.schedule(self.now + 1.0, self.renew_leases)

    def freeze(self, seconds):
        """Freeze the process: events of this time are delivered to it afterwards.

        From then on, the core doesn't renew its leases.
        """
        self.renewing_leases = False
        self.frozen_until = self.now + seconds

    def report_demand(self, node_id, tokens, sequence, observations=(), route="banter"):
        """Send one front's report for the region "vestland"."""
        model, latency_class = ROUTES[route]
        entry = DemandEntry(
            route=route,
            model=model,
            latency_class=latency_class,
            source_region="vestland",
            requests_per_s=tokens / 100.0,
            prompt_tokens_per_s=0.0,
            answer_tokens_per_s=tokens,
            refused_per_s=0.0,
        )
        report = DemandReport(
            node_id=node_id,
            node_incarnation="i",
            sequence=sequence,
            entries=[entry],
            observations=list(observations),
        )
        return self.call(report)

    def add_fronts(self, number):
        for index in range(number):
            self.link.nodes.append(
                NodeRecord(
                    node_id=f"f{index}",
                    role="front",
                    zone="z",
                    region="r",
                    internal_address="127.0.0.1:1",
                    http_address="127.0.0.1:2",
                    incarnation="i",
                    ready=True,
                    draining=False,
                    configuration=VersionMark(epoch=0, counter=0),
                )
            )

    def list_replicas(self):
        """Set the topic "replicas" to all replicas, for worlds without a platform watcher."""
        body = ReplicasBody(replicas=[listed(r) for r in self.replicas.values()])
        self.link.set_body(topics.REPLICAS, body)
        self.flush_soon()

    def flush_soon(self):
        self.schedule(self.now, ev.TimerFired("core-link/flush"))

    def schedule(self, at, event):
        heapq.heappush(self.queue, (at, next(self.order), event))

    def run(self, seconds, until=None):
        """Run for ``seconds``, or until ``until()`` is true; return whether it was."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, event = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            if self.now < self.frozen_until:
                self.schedule(self.frozen_until, event)
                continue
            self.dispatch(event)
            if until is not None and until():
                return True
        self.now = end
        return until is not None and until()

    def dispatch(self, event):
        if isinstance(event, tuple):
            name, generation = event
            if self.timers.get(name) != generation:
                return
            del self.timers[name]
            event = ev.TimerFired(name)
        if callable(event):
            event()
            return
        if getattr(event, "call_id", None) in self.cancelled:
            return
        self.deliver(event)

    def deliver(self, event):
        effects = self.reducer.handle(event, self.now)
        for effect in effects:
            self.apply_effect(effect)

    def apply_effect(self, effect):
        if isinstance(effect, fx.StartTimer):
            generation = next(self.order)
            name = effect.name.replace("flush-link", "flush")
            if name.endswith("/flush"):
                self.flush_soon()
                return
            self.timers[name] = generation
            self.schedule(self.now + max(0.0, effect.delay_s), (name, generation))
        elif isinstance(effect, fx.CancelTimer):
            self.timers.pop(effect.name, None)
        elif isinstance(effect, fx.HttpCall):
            self.send(effect)
        elif isinstance(effect, fx.CancelHttpCall):
            self.cancelled.add(effect.call_id)
        elif isinstance(effect, fx.Call):
            self.calls.append((self.now, effect))
        elif isinstance(effect, fx.Answer):
            self.answers[effect.call_id] = effect.answer
        elif isinstance(effect, fx.Compute):
            self.schedule(self.now + self.compute_s, computed(effect))
        elif isinstance(effect, fx.Log):
            self.logs.append((self.now, effect))
        else:
            raise AssertionError(effect)

    def send(self, call):
        if call.not_after is not None and self.now > call.not_after:
            failed = ev.HttpFailed(call.call_id, "lease", ev.SendState.NOT_SENT)
            self.schedule(self.now, failed)
            return
        self.http.append((self.now, call))
        if call.address == PLATFORM:
            self.poll_platform(call)
            return
        replica = self.by_address.get(call.address)
        answer = None
        if replica is not None and call.address not in self.unreachable_addresses:
            answer = replica.answer(call.method, call.path, call.body, self.now)
        self.schedule_answer(call, answer, self.latency_s)

    def poll_platform(self, call):
        """Answer a long poll at once if there is a newer version, else after its wait."""
        after = int(call.path.split("after=")[1].split("&")[0])
        wait = int(call.path.split("wait_ms=")[1]) / 1000
        newer = self.platform.version != after
        at = self.now + (self.latency_s if newer else max(wait, self.latency_s))
        self.schedule(at, lambda: self.answer_platform(call, at))

    def answer_platform(self, call, at):
        answer = None if self.platform.unresponsive else (200, self.platform.body())
        self.schedule_answer(call, answer, 0.0)

    def schedule_answer(self, call, answer, delay):
        if answer is None:
            failed = ev.HttpFailed(call.call_id, "deadline", ev.SendState.MAYBE_SENT)
            self.schedule(self.now + call.deadline_s, failed)
            return
        status, body = answer
        self.schedule(self.now + delay, ev.HttpAnswered(call.call_id, status, {}, body))

    def call(self, request):
        """Deliver a call from a peer and return its answer."""
        call_id = self.context.identifiers.next()
        self.deliver(ev.CallArrived(call_id, "127.0.0.9:1", request))
        return self.answers[call_id]

    def published(self, topic):
        return [p for p in self.link.publications if p.topic == topic]

    def plan(self):
        return self.published(topics.PLAN)[-1].body

    def orders(self):
        return sorted(
            (order[0], replica.replica_id, *order[1:])
            for replica in self.replicas.values()
            for order in replica.orders
        )

    def serving(self):
        """Return each (replica id, model) that fronts may use by the newest published plan."""
        return {
            (replica.replica_id, model)
            for replica in self.plan().replicas
            for model in set(replica.loaded_models) & set(replica.intended_models)
            if replica.healthy
        }

    def decisions(self, kind):
        return [d for p in self.link.publications for d in p.decisions if d.kind == kind]

    def component(self, name):
        return self.reducer.components[name]


def computed(effect):
    try:
        return ev.Computed(effect.ticket, effect.function(effect.argument))
    except Exception as problem:
        return ev.Computed(effect.ticket, None, repr(problem))


def fleet(vestland=5, austland=4):
    regions = [("vestland", vestland), ("austland", austland)]
    return [
        FakeReplica(
            f"{region[0]}{index}",
            f"127.0.{1 + place}.{index + 1}:8000",
            region,
            f"{region}-{'ab'[index % 2] if region == 'vestland' else 'a'}",
        )
        for place, (region, number) in enumerate(regions)
        for index in range(number)
    ]


def document(**changes):
    """Return the bytes of a configuration document; keywords replace top-level members."""
    base = {
        "regions": {
            "vestland": {
                "zones": ["vestland-a", "vestland-b"],
                "weights": {"serve": 1.0, "spill": 0.5, "reserve": 0.1},
                "round_trip_ms": {"austland": 70.0},
            },
            "austland": {
                "zones": ["austland-a"],
                "weights": {"serve": 1.0, "spill": 0.5, "reserve": 0.1},
                "round_trip_ms": {"vestland": 70.0},
            },
        },
        "models": {
            "small": {
                "latency_classes": {"interactive": "continental"},
                "resources": {"gpu-large": {"units": 0.4, "tokens_per_s": 1200.0, "load_s": 2.0}},
                "priority": 5,
            },
            "large": {
                "latency_classes": {"interactive": "continental", "background": "global"},
                "resources": {"gpu-large": {"units": 0.6, "tokens_per_s": 600.0, "load_s": 4.0}},
                "priority": 10,
            },
        },
        "routes": {
            "banter": {"kind": "model", "model": "small", "latency_class": "interactive"},
            "dispute": {"kind": "model", "model": "large", "latency_class": "interactive"},
            "build": {
                "kind": "model",
                "model": "large",
                "latency_class": "background",
                "home_regions": ["vestland"],
            },
        },
    }
    return json.dumps({**base, **changes}).encode()
