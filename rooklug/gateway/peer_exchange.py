"""Fronts that take the traffic of one region tell each other what they have under way.

A front knows only its own requests, and an engine that reads another front's long prompt makes
all of its streams pause. So every few hundredths of a second a front that has sent or ended
something tells its few peers; where there are more than a few, all of them call one front that
stands by, whose answer brings the sums of the others (``load_collector.py``). Messages are
state, not events: a lost one is made good by the next.
"""

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import ProcessContext
from rooklug.gateway.decision import Decision
from rooklug.gateway.gateway_events import ViewChanged
from rooklug.gateway.load_collector import LoadCollector, read_uses
from rooklug.gateway.requests import PromptPart
from rooklug.model.settings import NodeSettings
from rooklug.wire.generated.control.ttypes import NodeRecord
from rooklug.wire.generated.peers.ttypes import (
    FrontUse,
    FrontUseTaken,
    ReplicaUse,
    SentPrompt,
)

TELL_EVERY_S = 0.05
"""For one peer; with more of them each hears as much less often."""
LONGEST_PAUSE_S = 0.25
CALL_DEADLINE_S = 0.3
DIRECT_PEERS = 1
"""With more peers all tell a collector. Emulated, four seeds: with four and five serving fronts a
region that earns 0.006 and 0.010 more than messages among all of them, with thirteen 0.036."""
MOST_PEERS = 8
"""Where no collector answers, so many peers are told."""
COLLECT_EVERY_S = 0.05
COLLECT_S_A_FRONT = 0.004
"""A collector gets at most so many calls a second as this allows, however many fronts call it."""
COLLECTOR_LOST_S = 5.0
"""A collector that did not answer isn't asked again for so long."""
STANDBY_PAUSE_S = 1.0
"""A front without traffic looks so often whether it has something to tell."""
COLLECTED = "collector"
"""Under this name stands what a collector told."""
_TIMER = "tell"


@attrs.frozen
class Peer:
    """Another front of the region."""

    node_id: str
    address: str


class PeerExchange(BaseComponent):
    """Tells the peers, or the collector, while there is something under way."""

    name = "peer-exchange"
    call_types = (FrontUse,)
    subscribes_to = (ViewChanged,)

    def __init__(self, settings: NodeSettings, context: ProcessContext, decision: Decision) -> None:
        self._settings = settings
        self._context = context
        self._decision = decision
        self._peers: list[Peer] = []
        self._collectors: list[Peer] = []
        self._lost_until: dict[str, float] = {}
        self._collector = LoadCollector()
        self._prompts_seen = 0
        self._asked = ""
        self._sequence = 0
        self._told_nothing = True
        self._under_way: dict[int, str] = {}

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take a peer's word, or tell the peers."""
        match event:
            case ev.Started():
                return [fx.StartTimer(_TIMER, TELL_EVERY_S)]
            case ev.TimerFired():
                effects = self._tell(now)
                return [fx.StartTimer(_TIMER, self._pause_s(now)), *effects]
            case ev.CallArrived():
                return self._take(event, now)
            case ev.CallAnswered():
                self._under_way.pop(event.call_id, None)
                self._learn(event.answer, now)
            case ev.CallFailed():
                self._lose(self._under_way.pop(event.call_id, ""), now)
            case ViewChanged():
                self._take_view()
        return []

    def _take_view(self) -> None:
        view = self._decision.view
        region = self._settings.region
        serving = set(view.send_rights.serving.get(region, ()))
        fronts = [node for node in view.ready_fronts if node.node_id in serving]
        self._peers = self._others(fronts)
        self._collectors = self._others(view.load_collectors(region))
        ready = frozenset(node.node_id for node in view.ready_fronts)
        self._decision.peers.forget_except(ready | {COLLECTED})
        self._collector.loads.forget_except(ready)

    def _others(self, fronts: list[NodeRecord]) -> list[Peer]:
        own_id = self._settings.node_id
        return [Peer(n.node_id, n.internal_address) for n in fronts if n.node_id != own_id]

    def _collector_now(self, now: float) -> Peer | None:
        """Return the collector to ask; None where the peers are told themselves."""
        if len(self._peers) <= DIRECT_PEERS:
            return None
        for collector in self._collectors:
            if self._lost_until.get(collector.node_id, 0.0) <= now:
                return collector
        return None

    def _pause_s(self, now: float) -> float:
        if self._told_nothing and not self._is_serving():
            return STANDBY_PAUSE_S
        if self._collector_now(now) is not None:
            return max(COLLECT_EVERY_S, COLLECT_S_A_FRONT * len(self._peers))
        return min(TELL_EVERY_S * max(len(self._peers), 1), LONGEST_PAUSE_S)

    def _is_serving(self) -> bool:
        serving = self._decision.view.send_rights.serving
        return self._settings.node_id in serving.get(self._settings.region, ())

    def _tell(self, now: float) -> list[fx.Effect]:
        prompts = self._decision.take_sent_prompts()
        rate = self._decision.read_rate.tokens_per_s
        uses = [
            ReplicaUse(replica_id, load.running, load.unread_tokens(rate, now))
            for replica_id, load in self._decision.loads.items()
            if load.running
        ]
        if not self._peers or (not uses and not prompts and self._told_nothing):
            return []
        self._told_nothing = not uses
        self._sequence += 1
        message = FrontUse(
            node_id=self._settings.node_id,
            incarnation=self._context.incarnation,
            sequence=self._sequence,
            uses=uses,
            prompts=prompts,
        )
        busy = set(self._under_way.values())
        collector = self._collector_now(now)
        if collector is None:
            told = self._peers[:MOST_PEERS]
            return [self._call(peer, message) for peer in told if peer.node_id not in busy]
        return [] if collector.node_id in busy else [self._ask(collector, message)]

    def _ask(self, collector: Peer, message: FrontUse) -> fx.Call:
        """Tell the collector, and ask it for what the others told."""
        if self._asked != collector.node_id:
            self._asked, self._prompts_seen = collector.node_id, 0
        message.prompts_seen = self._prompts_seen
        return self._call(collector, message)

    def _call(self, peer: Peer, message: FrontUse) -> fx.Call:
        call_id = self._context.identifiers.next()
        self._under_way[call_id] = peer.node_id
        return fx.Call(call_id, peer.address, message, CALL_DEADLINE_S)

    def _lose(self, node_id: str, now: float) -> None:
        """Note that a front did not answer."""
        if node_id == self._asked:
            self._lost_until[node_id] = now + COLLECTOR_LOST_S

    def _learn(self, answer: FrontUseTaken | None, now: float) -> None:
        """Take what a collector answers; a peer's answer holds nothing."""
        if answer is None or answer.others is None:
            return
        uses = read_uses(answer.others)
        self._decision.peers.forget_except(frozenset({COLLECTED}))
        self._decision.peers.take(COLLECTED, self._context.incarnation, self._sequence, uses, now)
        self._prompts_seen = answer.prompts_seen or 0
        self._learn_prompts(answer.prompts or [], now)

    def _take(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        message: FrontUse = event.request
        if message.prompts_seen is not None:
            return [fx.Answer(event.call_id, self._collector.take(message, now))]
        uses = read_uses(message.uses)
        peers = self._decision.peers
        if peers.take(message.node_id, message.incarnation, message.sequence, uses, now):
            self._learn_prompts(message.prompts, now)
        return [fx.Answer(event.call_id, FrontUseTaken())]

    def _learn_prompts(self, prompts: list[SentPrompt], now: float) -> None:
        for prompt in prompts:
            self._decision.learn_prompt(
                prompt.replica_id, _parts_of(prompt), prompt.memory_tokens, now
            )


def _parts_of(prompt: SentPrompt) -> tuple[PromptPart, ...]:
    pairs = zip(prompt.part_ids, prompt.part_tokens, strict=False)
    return tuple(PromptPart(part_id, tokens) for part_id, tokens in pairs)
