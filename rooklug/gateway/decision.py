"""The decision object of the gateway: asked where a request goes, it does nothing itself."""

from random import Random

import attrs

from rooklug.front.outcomes import AttemptOutcome
from rooklug.gateway.cold_gate import ColdGate
from rooklug.gateway.document import Route, Service
from rooklug.gateway.list_doubt import ListDoubt
from rooklug.gateway.prefix_table import PrefixTable
from rooklug.gateway.read_rate import ReadRate
from rooklug.gateway.region_order import region_order
from rooklug.gateway.replica_cost import CostModel, rank_of
from rooklug.gateway.replica_load import ReplicaLoad
from rooklug.gateway.replica_pace import ReplicaPace, Room
from rooklug.gateway.replica_pool import MOST_HOLDERS
from rooklug.gateway.replicas import GatewayReplica
from rooklug.gateway.requests import PassedRequest, PromptPart
from rooklug.gateway.view import GatewayView
from rooklug.routing.peer_loads import PeerLoads, Use
from rooklug.routing.send_rights import SendRight
from rooklug.wire.generated.peers.ttypes import SentPrompt

RETRY_AFTER_COLD_S = 0.5
RETRY_AFTER_NO_REPLICA_S = 1.0
READ_SHARE_WEIGHT = 0.01
"""Weight of one prompt in the moving average of the share that is read."""
MOST_UNTOLD_PROMPTS = 256
"""Without peers nobody asks for them."""
RETRY_AFTER_OLD_LIST_S = 1.0
"""The list of replicas is read about as often."""


@attrs.frozen
class ServeAt:
    """Send the request to this replica."""

    replica: GatewayReplica


@attrs.frozen
class Refuse:
    """Not run and never will be: the client should come back after ``retry_after_s``."""

    reason: str
    retry_after_s: float


Verdict = ServeAt | Refuse


@attrs.define(eq=False)
class Decision:
    """Chooses service, region and replica. Only ``sent`` and ``ended`` change its counts."""

    region: str
    zone: str
    random: Random
    cold_gate: ColdGate
    pace: ReplicaPace = attrs.field(factory=ReplicaPace)
    view: GatewayView = attrs.field(factory=GatewayView)
    loads: dict[str, ReplicaLoad] = attrs.field(factory=dict)
    prefixes: PrefixTable = attrs.field(factory=PrefixTable)
    doubt: ListDoubt = attrs.field(factory=ListDoubt)
    read_rate: ReadRate = attrs.field(factory=ReadRate)
    peers: PeerLoads = attrs.field(factory=PeerLoads)
    read_share: float = 1.0
    _sent_prompts: list[SentPrompt] = attrs.field(factory=list)

    def service_for(self, request: PassedRequest, route: Route) -> Service:
        """Return the service that a request draws by the route's weights."""
        total = sum(share.weight for share in route.shares)
        left = request.draw * total
        chosen = route.shares[-1]
        for share in route.shares:
            left -= share.weight
            if left < 0 < share.weight:
                chosen = share
                break
        return self.view.configuration.services[chosen.service]

    def ask(
        self,
        request: PassedRequest,
        route: Route,
        service: Service,
        tried: frozenset[str],
        now: float,
    ) -> Verdict:
        """Return where the request goes now."""
        order = region_order(self.view, self.region, request, route, service)
        chosen = self._among_some(request, route, service, order[0], tried, now)
        if chosen is not None:
            return ServeAt(chosen)
        return self._among_all(request, route, service, order, tried, now)

    def _among_some(
        self,
        request: PassedRequest,
        route: Route,
        service: Service,
        region: str,
        tried: frozenset[str],
        now: float,
    ) -> GatewayReplica | None:
        """Choose in a large pool without looking at all of it; None if that finds nothing sound."""
        if route.home_regions and region not in route.home_regions:
            return None
        pool = self.view.pool(service.name, region)
        if not pool.is_large:
            return None
        part_id = self._shared_parts(request)[-1].part_id if request.parts else ""
        owner = pool.ring.owner(part_id)
        found = pool.some(owner, self.prefixes.users(part_id, MOST_HOLDERS), self.random)
        sound = [r for r in found if r.replica_id not in tried and self._is_sound(r, now)]
        free = [r for r, room in self._rooms(sound, service, now) if room is Room.FREE]
        if not free:
            return None
        return self._cheapest(request, route, free, now, owner)

    def _is_sound(self, replica: GatewayReplica, now: float) -> bool:
        """Tell whether nothing speaks against a listed replica."""
        replica_id = replica.replica_id
        if self.doubt.is_gone(replica_id) or self.doubt.is_doubtful(replica_id, replica.zone):
            return False
        return not (self._is_ejected(replica, now) or self._load(replica).is_silent(now))

    def _among_all(
        self,
        request: PassedRequest,
        route: Route,
        service: Service,
        order: tuple[str, ...],
        tried: frozenset[str],
        now: float,
    ) -> Verdict:
        """Choose among all replicas, the least bad ones where no sound one is free."""
        usable = [
            replica
            for replica in self.view.usable(service.name, route.home_regions)
            if replica.replica_id not in tried and not self.doubt.is_gone(replica.replica_id)
        ]
        if not usable:
            return Refuse("no replica", RETRY_AFTER_NO_REPLICA_S)
        sure = [r for r in usable if not self.doubt.is_doubtful(r.replica_id, r.zone)]
        if not sure and tried:
            return Refuse("the list is old", RETRY_AFTER_OLD_LIST_S)
        usable = sure or usable
        healthy = [replica for replica in usable if not self._is_ejected(replica, now)]
        healthy = [r for r in healthy if not self._load(r).is_silent(now)] or healthy
        rooms = self._rooms(healthy or usable, service, now)
        open_ones = [replica for replica, room in rooms if room is not Room.NONE]
        if not open_ones:
            return Refuse("replicas are cold or at their pace", RETRY_AFTER_COLD_S)
        free = [replica for replica, room in rooms if room is Room.FREE]
        near = _in_first_region(order, free or open_ones)
        return ServeAt(self._cheapest(request, route, near, now))

    def sent(
        self,
        call_id: int,
        request: PassedRequest,
        replica: GatewayReplica,
        service: Service,
        now: float,
    ) -> None:
        """Count a request that goes out."""
        missing = self.prefixes.missing(replica.replica_id, request.parts, now)
        load = self._load(replica)
        ahead = load.waiting_tokens
        load.sent(call_id, missing, now)
        if service.engine is not None:
            self._note_reading(request, missing)
            self.read_rate.sent(call_id, ahead + missing, now)
            self._note_prompt(request, replica, service.engine.key_value_tokens, now)
        if service.cold_rate_per_s > 0:
            self.pace.sent(replica.replica_id, now)
        if replica.is_cold(now):
            senders = self.view.send_rights.senders(replica.region)
            self.cold_gate.sent(replica.replica_id, service.cold_rate_per_s, senders, now)

    def _note_reading(self, request: PassedRequest, missing: int) -> None:
        """Follow which share of the prompts' tokens replicas have to read."""
        total = sum(part.tokens for part in request.parts)
        if total:
            self.read_share += READ_SHARE_WEIGHT * (missing / total - self.read_share)

    def _note_prompt(
        self, request: PassedRequest, replica: GatewayReplica, memory: int, now: float
    ) -> None:
        """Remember what a replica reads now, and tell the peers its shared parts."""
        self.prefixes.used(replica.replica_id, request.parts, memory, now)
        shared = request.parts[:-1]
        if shared and len(self._sent_prompts) < MOST_UNTOLD_PROMPTS:
            ids, tokens = [part.part_id for part in shared], [part.tokens for part in shared]
            self._sent_prompts.append(SentPrompt(replica.replica_id, ids, tokens, memory))

    def take_sent_prompts(self) -> list[SentPrompt]:
        """Return the prompts that were sent since the last question."""
        taken, self._sent_prompts = self._sent_prompts, []
        return taken

    def learn_prompt(
        self, replica_id: str, parts: tuple[PromptPart, ...], memory: int, now: float
    ) -> None:
        """Take from a peer that a replica reads these parts."""
        self.prefixes.used(replica_id, parts, memory, now)

    def heard(self, call_id: int, replica: GatewayReplica, now: float) -> None:
        """Note bytes of an answer."""
        self.doubt.prove(replica.replica_id)
        self._load(replica).heard(call_id, now)
        self.read_rate.heard(call_id, now)

    def ended(
        self, call_id: int, replica: GatewayReplica, outcome: AttemptOutcome | None, now: float
    ) -> None:
        """Count the end of a request; None says nothing about the replica."""
        load = self._load(replica)
        load.ended(call_id, now)
        self.read_rate.ended(call_id)
        if outcome is AttemptOutcome.SUCCESS:
            self.doubt.prove(replica.replica_id)
            load.health.succeeded()
        elif outcome is not None:
            load.health.failed(outcome, now, self.random)

    def denied(self, replica: GatewayReplica) -> None:
        """Note that a replica's address answered as another replica."""
        self.doubt.disprove(replica.replica_id, replica.zone)

    def take_view(self, view: GatewayView) -> None:
        """Go on under a newer snapshot."""
        self.view = view
        listed = {r.replica_id for replicas in view.replicas.values() for r in replicas}
        self.loads = {
            key: load for key, load in self.loads.items() if key in listed or load.running
        }
        self.cold_gate.forget_except(listed)
        self.pace.forget_except(listed)
        self.prefixes.forget_except(listed)
        self.doubt.take_list(listed)

    def _cheapest(
        self,
        request: PassedRequest,
        route: Route,
        candidates: list[GatewayReplica],
        now: float,
        owner: str | None = None,
    ) -> GatewayReplica:
        """Return the best of the candidates; ``owner`` is whom all fronts agree on, if known."""
        if not (route.affinity and request.parts):
            return self._least_running(candidates, now)
        model = self._cost_model(request, route, candidates, owner)
        costs = [model.of(replica, self._use(replica, now), now) for replica in candidates]
        return min(costs, key=lambda cost: cost.order).replica

    def _least_running(self, candidates: list[GatewayReplica], now: float) -> GatewayReplica:
        uses = {r.replica_id: self._use(r, now).running for r in candidates}
        return min(candidates, key=lambda r: (uses[r.replica_id], r.zone != self.zone, self._tie()))

    def _cost_model(
        self,
        request: PassedRequest,
        route: Route,
        near: list[GatewayReplica],
        owner: str | None,
    ) -> CostModel:
        shared = self._shared_parts(request)
        ranks = {r.replica_id: rank_of(shared, r.replica_id) for r in near}
        rate = self.read_rate.tokens_per_s
        own_tokens = request.parts[-1].tokens if len(request.parts) > 1 else 0
        return CostModel(
            shared,
            own_tokens,
            route.latency_objective_s,
            route.gap_objective_s,
            rate,
            self.prefixes,
            ranks,
            owner or max(ranks, key=ranks.__getitem__),
        )

    def _shared_parts(self, request: PassedRequest) -> tuple[PromptPart, ...]:
        """Return the parts of a prompt that other prompts may begin with, too."""
        return request.parts[:-1] or request.parts

    def _rooms(
        self, replicas: list[GatewayReplica], service: Service, now: float
    ) -> list[tuple[GatewayReplica, Room]]:
        """Return what one more request to each replica would be."""
        rights = self.view.send_rights
        front_id = self.cold_gate.front_id
        by_region = {r.region: rights.towards(r.region, front_id) for r in replicas}
        return [(r, self._room(r, service, by_region[r.region], now)) for r in replicas]

    def _room(
        self, replica: GatewayReplica, service: Service, right: SendRight, now: float
    ) -> Room:
        rate_per_s = service.cold_rate_per_s
        if replica.is_cold(now):
            senders = self.view.send_rights.senders(replica.region)
            if not self.cold_gate.may_send(replica.replica_id, rate_per_s, senders, now):
                return Room.NONE
        return self.pace.room(replica.replica_id, rate_per_s, right, now)

    def is_silent(self, replica: GatewayReplica, now: float) -> bool:
        """Tell whether a replica owes answers and says nothing at all."""
        return self._load(replica).is_silent(now)

    def _is_ejected(self, replica: GatewayReplica, now: float) -> bool:
        load = self.loads.get(replica.replica_id)
        if load is None:
            return False
        return load.health.is_ejected(now) or (load.health.on_probation and load.running > 0)

    def _use(self, replica: GatewayReplica, now: float) -> Use:
        """Return what is under way at a replica, as far as known."""
        others = self.peers.at_replica(replica.replica_id, now)
        load = self._load(replica)
        return Use(load.running + others.running, load.waiting_tokens + others.waiting_tokens)

    def _load(self, replica: GatewayReplica) -> ReplicaLoad:
        load = self.loads.get(replica.replica_id)
        if load is None:
            load = self.loads[replica.replica_id] = ReplicaLoad()
        return load

    def _tie(self) -> float:
        return self.random.random()


def _in_first_region(
    order: tuple[str, ...], replicas: list[GatewayReplica]
) -> list[GatewayReplica]:
    """Return the replicas of the first region of ``order`` that has any, else all."""
    for region in order:
        near = [replica for replica in replicas if replica.region == region]
        if near:
            return near
    return replicas
