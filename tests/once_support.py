"""A simulated site for once-only requests: fronts, claim stores, back ends, callers, an oracle.

Fronts and claim stores are the real reducers in virtual time. ``Site`` stands in for the core
(leases, roles, topics); back ends and callers are simple components.
"""

import json
from random import Random

import attrs

from rooklug.config.document_reader import read_configuration
from rooklug.config.examples import read_example
from rooklug.config.patching import digest
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent
from rooklug.engine.composite import CompositeReducer
from rooklug.front.once_only.build import build_once_only_components
from rooklug.front.once_only.claim_store import build_claim_store_components
from rooklug.front.once_only.claims import role_key_of, shard_of
from rooklug.front.view_component import RoutingViewComponent
from rooklug.model import topics
from rooklug.model.internal_events import GrantsChanged, TopicChanged
from rooklug.model.settings import NodeSettings
from rooklug.wire.generated.control import ttypes as wire
from rooklug_lab.sim.network import Place
from rooklug_lab.sim.world import World

ROUTE = "payslip-lookup"
BACKEND = "ledger"
LEASE_S = 3.0
LEASE_MARGIN_S = 0.1
LINK_POLL_S = 0.25
DEADLINE_MS = 5000
ORDER = "order"
ZONES = (("cairo-a", "cairo"), ("cairo-b", "cairo"), ("alexandria-a", "alexandria"))


@attrs.define
class RoleHolder:
    """The front that holds a shard's role. ``free_at``: end of its lease, in world time."""

    front: str
    token: wire.VersionMark
    free_at: float


class FakeLink(BaseComponent):
    """Stands in for a front's ``CoreLink``; the site fills it at each poll."""

    name = "core-link"

    def __init__(self, site: "Site", settings: NodeSettings, incarnation: str) -> None:
        self.site = site
        self.settings = settings
        self.incarnation = incarnation
        self.grants: dict[str, tuple[wire.RoleGrant, float]] = {}
        self.nodes: list[wire.NodeRecord] = []
        self.owners: dict[str, wire.RoleOwner] = {}
        self.mark = 0

    def members(self) -> list[wire.NodeRecord]:
        return self.nodes

    def role_owner(self, role_key: str) -> wire.RoleOwner | None:
        return self.owners.get(role_key)

    def grant(self, role_key: str, now: float) -> wire.RoleGrant | None:
        grant, until = self.grants.get(role_key, (None, 0.0))
        return grant if now < until else None

    def grant_until(self, role_key: str, now: float) -> float:
        return self.grants[role_key][1] if self.grant(role_key, now) else 0.0

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        if not isinstance(event, ev.Started | ev.TimerFired):
            return []
        again = fx.StartTimer("poll", LINK_POLL_S)
        if self.settings.node_id in self.site.cut_from_core:
            return [again]
        self.site.renew(self, now)
        self.mark += 1
        effects: list[fx.Effect] = [again, *self._topics()]
        return [*effects, EmitEvent(GrantsChanged(tuple(g for g, _ in self.grants.values())))]

    def _topics(self) -> list[fx.Effect]:
        mark = wire.VersionMark(1, self.mark)
        bodies = {
            topics.MEMBERS: wire.MembersBody(self.nodes, list(self.owners.values())),
            topics.REPLICAS: wire.ReplicasBody(self.site.listed),
        }
        if self.mark == 1:
            document = self.site.document
            body = wire.ConfigurationBody(1, digest(document), document)
            bodies[topics.CONFIGURATION] = body
        return [EmitEvent(TopicChanged(topic, mark, body)) for topic, body in bodies.items()]


@attrs.frozen
class Execution:
    key: str
    request_id: str
    at: float
    region: str = ""


class Backend(BaseComponent):
    """Executes each request on arrival; may lose its answer, delay it, or send an earlier one."""

    name = "backend"
    http_prefixes = ("/api/",)

    def __init__(self, site: "Site", context) -> None:
        self.site = site
        self.name_of_process = context.node_id
        self.random = context.random
        self.waiting: dict[int, bytes] = {}
        self.last = b"{}"

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        if isinstance(event, ev.HttpRequestArrived):
            return self._run(event)
        if isinstance(event, ev.TimerFired):
            body = self.waiting.pop(int(event.name), None)
            return [fx.HttpRespond(int(event.name), 200, body)] if body else []
        if isinstance(event, ev.HttpRequestClosed):
            self.waiting.pop(event.request_id, None)
        return []

    def _run(self, event: ev.HttpRequestArrived) -> list[fx.Effect]:
        document = json.loads(event.body)
        request_id = event.headers["x-rooklug-request-id"]
        executions = self.site.executions
        region = self.site.world.processes[self.name_of_process].place.region
        executions.append(Execution(document["key"], request_id, self.site.world.now, region))
        result = {"key": document["key"], "run": len(executions)}
        body = {"request_id": request_id, "key": document["key"], "result": result}
        own, crossed = json.dumps(body).encode(), self.last
        self.last = own
        draw = self.random.random()
        if draw < self.site.lost_share:
            return [fx.HttpStreamAbort(event.request_id)]
        if draw < 2 * self.site.lost_share:
            return [fx.HttpRespond(event.request_id, 200, crossed)]
        late = self.random.random() < self.site.late_share
        self.waiting[event.request_id] = own
        return [fx.StartTimer(str(event.request_id), 6.0 if late else 0.01)]


@attrs.define
class Submission:
    """One submission of a key by a caller, and its outcome. ``first``: sent as first attempt."""

    key: str
    request_id: str
    front: str
    started: float
    first: bool
    ended: float = 0.0
    outcome: str = "open"
    result: dict = attrs.field(factory=dict)
    repeated: bool = False


class Callers(BaseComponent):
    """Submits new keys at a rate, some of them twice at once, and repeats those without a result.

    Each submission goes to a random front; one in ten keys that are done is repeated as well.
    """

    name = "callers"

    def __init__(self, site: "Site", context) -> None:
        self.site = site
        self.context = context
        self.random = context.random
        self.calls: dict[int, Submission] = {}
        self.keys = 0

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        if isinstance(event, ev.Started):
            return [fx.StartTimer("new", 0.01)]
        if isinstance(event, ev.TimerFired):
            return self._timer(event.name)
        if isinstance(event, ev.HttpAnswered):
            return self._answered(event)
        if isinstance(event, ev.HttpFailed):
            submission = self.calls.pop(event.call_id)
            sent = event.send_state is not ev.SendState.NOT_SENT
            return self._ended(submission, "lost" if sent else "not_sent")
        return []

    def _timer(self, name: str) -> list[fx.Effect]:
        if name != "new":
            kind, key, detail = name.split("|")
            return self.send(key, 2, detail) if kind == ORDER else self.send(key, int(detail))
        if not self.site.calling:
            return [fx.StartTimer("new", 0.1)]
        self.keys += 1
        key = f"key-{self.keys}"
        effects = self.send(key, 1)
        if self.random.random() < 0.15:
            effects += self.send(key, 2)
        return [*effects, fx.StartTimer("new", self.site.pause_s * 2 * self.random.random())]

    def send(self, key: str, number: int, front: str = "") -> list[fx.Effect]:
        front = front or self.random.choice(sorted(self.site.fronts))
        call_id = self.context.identifiers.next()
        is_first = number == 1 and self.random.random() < 0.3
        submission = Submission(key, f"{key}.{call_id}", front, self.site.world.now, is_first)
        self.calls[call_id] = submission
        self.site.submissions.append(submission)
        headers = {
            "x-rooklug-route": ROUTE,
            "x-rooklug-key": key,
            "x-rooklug-request-id": submission.request_id,
            "x-rooklug-deadline-ms": str(DEADLINE_MS),
        }
        if is_first:
            headers["x-rooklug-attempt"] = "1"
        address = self.site.fronts[front].http_address
        body = self.site.payload or json.dumps({"asked": key}).encode()
        wait_s = self.random.choice([1.0, DEADLINE_MS / 1000 + 0.5])
        return [
            fx.HttpCall(call_id, address, "POST", "/v1/once", body, wait_s, headers),
        ]

    def _answered(self, event: ev.HttpAnswered) -> list[fx.Effect]:
        submission = self.calls.pop(event.call_id)
        document = json.loads(event.body)
        submission.result = document.get("result", {})
        submission.repeated = document.get("repeated", False)
        outcome = document.get("outcome", f"status {event.status}")
        if outcome in ("not_run", "unknown"):
            assert int(event.headers["retry-after"]) >= 1, event
        return self._ended(submission, outcome)

    def _ended(self, submission: Submission, outcome: str) -> list[fx.Effect]:
        submission.outcome = outcome
        submission.ended = self.site.world.now
        number = sum(other.key == submission.key for other in self.site.submissions[-200:])
        if outcome == "done" and self.random.random() > 0.1:
            return []
        if number > 5:
            return []
        call_id = self.context.identifiers.next()
        pause = self.random.choice([0.01, 0.3, 1.0, 4.0])
        return [fx.StartTimer(f"again{call_id}|{submission.key}|{number + 1}", pause)]


class Site:
    """Six fronts, three stores and three back ends in three zones; grants roles like a core."""

    def __init__(self, seed: int, document: bytes = b"") -> None:
        self.world = World(seed, region_delay_s=0.02)
        self.document = document or read_example("payroll")
        self.random = Random(seed * 7919 + 1)
        self.cut_from_core: set[str] = set()
        self.executions: list[Execution] = []
        self.submissions: list[Submission] = []
        self.lost_share = 0.0
        self.late_share = 0.0
        self.pause_s = 0.05
        self.calling = True
        self.payload = b""
        self.fronts: dict[str, object] = {}
        self.stores: dict[str, object] = {}
        self.links: dict[str, FakeLink] = {}
        self.seen: dict[str, tuple[float, wire.NodeRecord]] = {}
        self.roles: dict[str, RoleHolder] = {}
        self.counter = 0
        self.seeds = tuple(f"127.1.{zone}.1:7100" for zone in range(1, 4))
        self.listed = [self._add_backend(zone) for zone in range(1, 4)]
        for zone in range(1, 4):
            self._add_store(zone)
            for number in (1, 2):
                self._add_front(zone, number)
        place = Place("127.1.9.9", "nowhere", "cairo")
        build = lambda context: CompositeReducer([Callers(self, context)])  # noqa: E731
        self.callers = self.world.add("callers", place, build)
        for process in self.world.processes.values():
            process.start()

    def _place(self, zone: int, number: int) -> Place:
        return Place(f"127.1.{zone}.{number}", *ZONES[zone - 1])

    def _add_backend(self, zone: int) -> wire.ListedReplica:
        place = self._place(zone, 50)
        address = f"{place.ip}:8000"
        build = lambda context: CompositeReducer([Backend(self, context)])  # noqa: E731
        self.world.add(f"backend-{zone}", place, build, http_address=address)
        return wire.ListedReplica(
            f"backend-{zone}", address, "once", BACKEND, place.region, place.zone, "", 0.0, False
        )

    def _add_store(self, zone: int) -> None:
        place = self._place(zone, 1)
        self.stores[f"store-{zone}"] = self.world.add(
            f"store-{zone}",
            place,
            lambda context: CompositeReducer(build_claim_store_components(context)),
            internal_address=self.seeds[zone - 1],
            has_disk=True,
        )

    def _add_front(self, zone: int, number: int) -> None:
        place = self._place(zone, number)
        name = f"front-{zone}-{number}"
        internal, http = f"{place.ip}:7300", f"{place.ip}:8080"
        settings = NodeSettings(
            name, "front", place.zone, place.region, internal, http, internal, http, self.seeds
        )

        def build(context) -> CompositeReducer:
            link = self.links[name] = FakeLink(self, settings, context.incarnation)
            view_component = RoutingViewComponent(settings, read_configuration)
            return CompositeReducer(
                [link, view_component, *build_once_only_components(settings, context, link)]
            )

        self.fronts[name] = self.world.add(name, place, build, http, internal)

    # Stand-in for the core ---------------------------------------------------------------

    def renew(self, link: FakeLink, now: float) -> None:
        """Renew a front's lease, and give it its grants and the lists of nodes and owners."""
        at = self.world.now
        own = link.settings
        record = wire.NodeRecord(
            own.node_id,
            "front",
            own.zone,
            own.region,
            own.internal_address,
            own.http_address,
            link.incarnation,
            True,
            False,
            wire.VersionMark(1, 1),
        )
        before = self.seen.get(own.node_id)
        if before and before[1].incarnation != link.incarnation:
            for role in self.roles.values():
                role.front = "" if role.front == own.node_id else role.front
        self.seen[own.node_id] = (at, record)
        live = {name for name, (seen, _) in self.seen.items() if at < seen + LEASE_S}
        link.grants = {}
        for shard in range(topics.CLAIM_SHARDS):
            self._grant(shard, link, live, at, now)
        link.nodes = [self.seen[name][1] for name in sorted(live)]
        link.owners = {
            key: wire.RoleOwner(
                key, role.front, self.fronts[role.front].internal_address, role.token
            )
            for key, role in sorted(self.roles.items())
            if role.front
        }

    def _grant(self, shard: int, link: FakeLink, live: set[str], at: float, now: float) -> None:
        key = role_key_of(shard)
        name = link.settings.node_id
        role = self.roles.get(key)
        vacant = role is None or (role.front not in live and at >= role.free_at)
        names = sorted(live)
        chosen = names[shard % len(names)] == name
        if vacant and chosen:
            self.counter += 1
            role = self.roles[key] = RoleHolder(name, wire.VersionMark(1, self.counter), 0.0)
        if role is not None and role.front == name:
            role.free_at = at + LEASE_S + LEASE_MARGIN_S
            grant = wire.RoleGrant(key, role.token, int(LEASE_S * 1000))
            link.grants[key] = (grant, now + LEASE_S)

    def send(self, key: str, front: str) -> Submission:
        """Let a caller submit ``key`` at ``front`` now."""
        self.callers.deliver(ev.TimerFired(f"{Callers.name}/{ORDER}|{key}|{front}"))
        return self.submissions[-1]

    def owner_of(self, key: str) -> str:
        """Return the front that holds the role of the key's shard, according to the core."""
        return self.roles[role_key_of(shard_of(ROUTE, key))].front

    def fronts_beside(self, *names: str) -> list[str]:
        """Return the names of all other fronts, sorted."""
        return [name for name in sorted(self.fronts) if name not in names]

    def restart_stores(self) -> None:
        """Kill all stores and restart them at once, with their disks intact."""
        for store in self.stores.values():
            self.world.kill(store)
            self.world.restart(store)

    def late_keys_done(self, since: float) -> float:
        """Return the share of keys first submitted at or after ``since`` that were done."""
        firsts: dict[str, float] = {}
        for submission in self.submissions:
            firsts.setdefault(submission.key, submission.started)
        keys = {key for key, started in firsts.items() if started >= since}
        done = {submission.key for submission in self.submissions if submission.outcome == "done"}
        return len(keys & done) / len(keys)

    def move_role(self, shard: int, front: str) -> None:
        """Hand a role over while its owner doesn't know yet, so that there are two owners."""
        self.counter += 1
        token = wire.VersionMark(1, self.counter)
        self.roles[role_key_of(shard)] = RoleHolder(front, token, self.world.now + LEASE_S)

    # The oracle --------------------------------------------------------------------------

    def violations(self) -> list[str]:
        """Return a message for every violated guarantee, as seen by callers and back ends."""
        runs: dict[str, list[Execution]] = {}
        for execution in self.executions:
            runs.setdefault(execution.key, []).append(execution)
        found = [f"{key} ran {len(of_key)} times" for key, of_key in runs.items() if of_key[1:]]
        ran_ids = {execution.request_id for execution in self.executions}
        for submission in self.submissions:
            found += self._violations_of(submission, runs.get(submission.key, []), ran_ids)
        return found

    def _violations_of(
        self, submission: Submission, runs: list[Execution], ran_ids: set
    ) -> list[str]:
        if submission.outcome == "not_run":
            if submission.request_id in ran_ids:
                return [f"{submission.request_id} was not_run, but ran"]
            before = [run for run in runs if run.at < submission.started]
            if before and not submission.first:
                return [f"{submission.key} was not_run, but had run before"]
        if submission.outcome == "done":
            if submission.result.get("key") != submission.key:
                return [f"{submission.request_id} got {submission.result}"]
            if not runs:
                return [f"{submission.request_id} is done, but never ran"]
            if submission.repeated == (submission.request_id in ran_ids):
                return [f"{submission.request_id} repeated: {submission.repeated}"]
        return []

    def count(self, outcome: str) -> int:
        """Return the number of submissions with that outcome."""
        return sum(submission.outcome == outcome for submission in self.submissions)

    def share_of_keys_done(self) -> float:
        """Return the share of keys with at least one submission that was done."""
        done = {submission.key for submission in self.submissions if submission.outcome == "done"}
        return len(done) / len({submission.key for submission in self.submissions})
