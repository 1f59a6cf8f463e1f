"""Fronts that take the traffic of one region tell each other what they have under way.

A front knows only its own requests, and an engine that reads another front's long prompt makes
all of its streams pause. So every few hundredths of a second a front that has sent or ended
something tells its few peers. Messages are state, not events: a lost one is made good by the next.
"""

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.composite import PartDefaults
from rooklug.engine.reducer import ProcessContext
from rooklug.gateway.decision import Decision
from rooklug.gateway.notices import ViewChanged
from rooklug.gateway.requests import PromptPart
from rooklug.model.settings import NodeSettings
from rooklug.routing.peer_loads import Use
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
MOST_PEERS = 8
_TIMER = "tell"


@attrs.frozen
class Peer:
    """Another front of the region."""

    node_id: str
    address: str


class PeerExchange(PartDefaults):
    """Tells the peers while there is something under way."""

    name = "peer-exchange"
    call_types = (FrontUse,)
    notice_types = (ViewChanged,)

    def __init__(self, settings: NodeSettings, context: ProcessContext, decision: Decision) -> None:
        self._settings = settings
        self._context = context
        self._decision = decision
        self._peers: list[Peer] = []
        self._sequence = 0
        self._told_nothing = True
        self._under_way: dict[int, str] = {}

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take a peer's word, or tell the peers."""
        match event:
            case ev.Started():
                return [fx.StartTimer(_TIMER, TELL_EVERY_S)]
            case ev.TimerFired():
                return [fx.StartTimer(_TIMER, self._pause_s()), *self._tell(now)]
            case ev.CallArrived():
                return self._take(event, now)
            case ev.CallAnswered() | ev.CallFailed():
                self._under_way.pop(event.call_id, None)
            case ViewChanged():
                self._take_view()
        return []

    def _take_view(self) -> None:
        view = self._decision.view
        serving = set(view.send_rights.serving.get(self._settings.region, ()))
        peers = [
            Peer(node.node_id, node.internal_address)
            for node in view.ready_fronts
            if node.node_id in serving and node.node_id != self._settings.node_id
        ]
        self._peers = peers[:MOST_PEERS]
        self._decision.peers.forget_except(frozenset(node.node_id for node in view.ready_fronts))

    def _pause_s(self) -> float:
        return min(TELL_EVERY_S * max(len(self._peers), 1), LONGEST_PAUSE_S)

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
        return [self._call(peer, message) for peer in self._peers if peer.node_id not in busy]

    def _call(self, peer: Peer, message: FrontUse) -> fx.Call:
        call_id = self._context.identifiers.next()
        self._under_way[call_id] = peer.node_id
        return fx.Call(call_id, peer.address, message, CALL_DEADLINE_S)

    def _take(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        message: FrontUse = event.request
        uses = {use.replica_id: Use(use.running, use.waiting_tokens) for use in message.uses}
        peers = self._decision.peers
        if peers.take(message.node_id, message.incarnation, message.sequence, uses, now):
            for prompt in message.prompts:
                self._decision.learn_prompt(
                    prompt.replica_id, _parts_of(prompt), prompt.memory_tokens, now
                )
        return [fx.Answer(event.call_id, FrontUseTaken())]


def _parts_of(prompt: SentPrompt) -> tuple[PromptPart, ...]:
    pairs = zip(prompt.part_ids, prompt.part_tokens, strict=False)
    return tuple(PromptPart(part_id, tokens) for part_id, tokens in pairs)
