"""The serving fronts of a region report their calls in flight to each other.

A front knows only its own requests, and an engine that prefills another front's long prompt stalls
all of its streams. Every front with calls in flight therefore reports them to its peers, many times
per second. If there are several peers, all of them instead call one standby front, whose response
contains the sums of the others (``load_collector.py``). A report is the complete state, so the next
one makes up for a lost one.
"""

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import ProcessContext
from rooklug.gateway.decision import Decision
from rooklug.gateway.gateway_events import ViewChanged
from rooklug.gateway.load_collector import LoadCollector, read_uses
from rooklug.gateway.requests import PrefixBlock
from rooklug.model.settings import NodeSettings
from rooklug.wire.generated.control.ttypes import NodeRecord
from rooklug.wire.generated.peers.ttypes import (
    FrontUse,
    FrontUseTaken,
    ReplicaUse,
    SentPrompt,
)

PEER_REPORT_INTERVAL_S = 0.05
"""Interval with one peer; it grows in proportion to the number of peers."""
MAX_REPORT_INTERVAL_S = 0.25
CALL_DEADLINE_S = 0.3
MAX_PEERS_WITHOUT_COLLECTOR = 1
"""With more peers, all report to a collector. In emulation with four seeds, this scored 0.006 and
0.010 more than direct reports with four and five serving fronts per region, and 0.036 more with
thirteen."""
MAX_DIRECT_PEERS = 8
"""Maximum number of peers that get reports while no collector answers."""
COLLECTOR_INTERVAL_S = 0.05
COLLECTOR_INTERVAL_S_PER_FRONT = 0.004
"""Minimum report interval per peer. It bounds the calls that a collector gets per second, however
many fronts call it."""
COLLECTOR_RETRY_S = 5.0
"""A collector that did not answer is not called again for this long."""
STANDBY_INTERVAL_S = 1.0
"""How often a front without traffic checks whether it has something to report."""
COLLECTOR_SOURCE = "collector"
"""Node id under which a collector's sums are recorded."""
_TIMER = "tell"


@attrs.frozen
class Peer:
    """Another front of the region and its internal address."""

    node_id: str
    address: str


class PeerExchange(BaseComponent):
    """Reports calls in flight to the peers or to the collector, and records their reports."""

    name = "peer-exchange"
    call_types = (FrontUse,)
    subscribes_to = (ViewChanged,)

    def __init__(self, settings: NodeSettings, context: ProcessContext, decision: Decision) -> None:
        self._settings = settings
        self._context = context
        self._decision = decision
        self._peers: list[Peer] = []
        self._collectors: list[Peer] = []
        self._retry_at: dict[str, float] = {}
        self._collector = LoadCollector()
        self._prompts_seen = 0
        self._called_collector = ""
        self._sequence = 0
        self._reported_nothing = True
        self._calls_in_flight: dict[int, str] = {}

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Send a report, record a peer's report or a collector's answer, or apply a new view."""
        match event:
            case ev.Started():
                return [fx.StartTimer(_TIMER, PEER_REPORT_INTERVAL_S)]
            case ev.TimerFired():
                effects = self._report(now)
                return [fx.StartTimer(_TIMER, self._interval_s(now)), *effects]
            case ev.CallArrived():
                return self._report_received(event, now)
            case ev.CallAnswered():
                self._calls_in_flight.pop(event.call_id, None)
                self._collector_answered(event.answer, now)
            case ev.CallFailed():
                self._record_lost(self._calls_in_flight.pop(event.call_id, ""), now)
            case ViewChanged():
                self._take_view()
        return []

    def _take_view(self) -> None:
        view = self._decision.view
        region = self._settings.region
        serving = set(view.send_shares.serving.get(region, ()))
        fronts = [node for node in view.ready_fronts if node.node_id in serving]
        self._peers = self._others(fronts)
        self._collectors = self._others(view.load_collectors(region))
        ready = frozenset(node.node_id for node in view.ready_fronts)
        self._decision.traffic.peers.forget_except(ready | {COLLECTOR_SOURCE})
        self._collector.loads.forget_except(ready)

    def _others(self, fronts: list[NodeRecord]) -> list[Peer]:
        own_id = self._settings.node_id
        return [Peer(n.node_id, n.internal_address) for n in fronts if n.node_id != own_id]

    def _collector_now(self, now: float) -> Peer | None:
        """Return the collector to call; None if reports go directly to the peers."""
        if len(self._peers) <= MAX_PEERS_WITHOUT_COLLECTOR:
            return None
        for collector in self._collectors:
            if self._retry_at.get(collector.node_id, 0.0) <= now:
                return collector
        return None

    def _interval_s(self, now: float) -> float:
        if self._reported_nothing and not self._is_serving():
            return STANDBY_INTERVAL_S
        if self._collector_now(now) is not None:
            return max(COLLECTOR_INTERVAL_S, COLLECTOR_INTERVAL_S_PER_FRONT * len(self._peers))
        return min(PEER_REPORT_INTERVAL_S * max(len(self._peers), 1), MAX_REPORT_INTERVAL_S)

    def _is_serving(self) -> bool:
        serving = self._decision.view.send_shares.serving
        return self._settings.node_id in serving.get(self._settings.region, ())

    def _report(self, now: float) -> list[fx.Effect]:
        prompts = self._decision.traffic.take_unreported_prompts()
        rate = self._decision.traffic.prefill_rate.tokens_per_s
        uses = [
            ReplicaUse(replica_id, load.running, load.remaining_prefill_tokens(rate, now))
            for replica_id, load in self._decision.traffic.loads.items()
            if load.running
        ]
        if not self._peers or (not uses and not prompts and self._reported_nothing):
            return []
        self._reported_nothing = not uses
        self._sequence += 1
        message = FrontUse(
            node_id=self._settings.node_id,
            incarnation=self._context.incarnation,
            sequence=self._sequence,
            uses=uses,
            prompts=prompts,
        )
        busy = set(self._calls_in_flight.values())
        collector = self._collector_now(now)
        if collector is None:
            receivers = self._peers[:MAX_DIRECT_PEERS]
            return [self._call(peer, message) for peer in receivers if peer.node_id not in busy]
        return [] if collector.node_id in busy else [self._call_collector(collector, message)]

    def _call_collector(self, collector: Peer, message: FrontUse) -> fx.Call:
        """Report to the collector, with the number of the last prompt received from it."""
        if self._called_collector != collector.node_id:
            self._called_collector, self._prompts_seen = collector.node_id, 0
        message.prompts_seen = self._prompts_seen
        return self._call(collector, message)

    def _call(self, peer: Peer, message: FrontUse) -> fx.Call:
        call_id = self._context.identifiers.next()
        self._calls_in_flight[call_id] = peer.node_id
        return fx.Call(call_id, peer.address, message, CALL_DEADLINE_S)

    def _record_lost(self, node_id: str, now: float) -> None:
        """Skip the collector for a while if it is the node that did not answer."""
        if node_id == self._called_collector:
            self._retry_at[node_id] = now + COLLECTOR_RETRY_S

    def _collector_answered(self, answer: FrontUseTaken | None, now: float) -> None:
        """Record a collector's sums in place of all other reports; a peer's answer has none."""
        if answer is None or answer.others is None:
            return
        uses = read_uses(answer.others)
        self._decision.traffic.peers.forget_except(frozenset({COLLECTOR_SOURCE}))
        self._decision.traffic.peers.take(
            COLLECTOR_SOURCE, self._context.incarnation, self._sequence, uses, now
        )
        self._prompts_seen = answer.prompts_seen or 0
        self._record_prompts(answer.prompts or [], now)

    def _report_received(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        message: FrontUse = event.request
        if message.prompts_seen is not None:
            return [fx.Answer(event.call_id, self._collector.take(message, now))]
        uses = read_uses(message.uses)
        peers = self._decision.traffic.peers
        if peers.take(message.node_id, message.incarnation, message.sequence, uses, now):
            self._record_prompts(message.prompts, now)
        return [fx.Answer(event.call_id, FrontUseTaken())]

    def _record_prompts(self, prompts: list[SentPrompt], now: float) -> None:
        for prompt in prompts:
            self._decision.traffic.prefixes.record_use(
                prompt.replica_id, _blocks_of(prompt), prompt.memory_tokens, now
            )


def _blocks_of(prompt: SentPrompt) -> tuple[PrefixBlock, ...]:
    pairs = zip(prompt.part_ids, prompt.part_tokens, strict=False)
    return tuple(PrefixBlock(block_id, tokens) for block_id, tokens in pairs)
