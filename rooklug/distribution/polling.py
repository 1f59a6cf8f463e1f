"""Follows the topics by long poll."""

import attrs

from rooklug.distribution.document_delta import apply_delta
from rooklug.distribution.link_events import RenewSoon
from rooklug.distribution.link_state import POLL_TIMER, LinkState, SentCall, ended
from rooklug.distribution.subscribed_topics import PendingDelta, RejectedUpdate, TakenUpdate
from rooklug.distribution.timing import POLL_OVERDUE_S
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.model.constants import POLL_ANSWER_DEADLINE_S, POLL_WAIT_S
from rooklug.model.internal_events import TopicChanged
from rooklug.model.topics import MEMBERS
from rooklug.wire.generated.control.ttypes import PollAnswer, PollRequest, TopicMark

_POLL_WAIT_MS = int(POLL_WAIT_S * 1000)
_EARLY_S = POLL_WAIT_S / 2


@attrs.define
class TopicPolling:
    """One poll is in flight at a time, or one delta is being applied."""

    state: LinkState
    _sent: SentCall | None = None
    _deltas: dict[int, PendingDelta] = attrs.field(factory=dict)

    def owns(self, call_id: int) -> bool:
        """Return whether a call is the poll in flight."""
        return self._sent is not None and self._sent.call_id == call_id

    def poll(self, now: float) -> list[fx.Effect]:
        """Send a poll; one that is in flight counts no more."""
        request = PollRequest(
            node_id=self.state.settings.node_id,
            held=self.state.topics.poll_versions(),
            wait_ms=_POLL_WAIT_MS,
        )
        self._sent, call = self.state.call(request, POLL_ANSWER_DEADLINE_S, now)
        return [call, fx.CancelTimer(POLL_TIMER)]

    def follow(self, now: float) -> list[fx.Effect]:
        """Poll at the core that the renewal has found."""
        sent = self._sent
        moved = sent is not None and sent.address != self.state.finder.address
        return self.poll(now) if moved else []

    def poll_if_behind(self, newest: list[TopicMark], now: float) -> list[fx.Effect]:
        """Poll again if the one in flight should have brought what is known to be there."""
        sent = self._sent
        overdue = sent is not None and now - sent.sent_at > POLL_OVERDUE_S
        return self.poll(now) if overdue and self.state.topics.behind(newest) else []

    def failed(self) -> list[fx.Effect]:
        """The poll in flight got no answer."""
        sent, self._sent = ended(self._sent), None
        return [fx.StartTimer(POLL_TIMER, self.state.finder.failed(sent.address))]

    def answered(self, answer: PollAnswer, now: float) -> list[fx.Effect]:
        """Take the answer to the poll in flight."""
        sent, self._sent = ended(self._sent), None
        finder = self.state.finder
        if not answer.primary_reachable or answer.epoch < self.state.lease.epoch:
            address = "" if answer.primary_reachable else answer.primary_address
            return [fx.StartTimer(POLL_TIMER, finder.redirected(sent.address, address))]
        finder.answered_as_primary(sent.address)
        taken = [self.state.topics.take(update) for update in answer.updates]
        effects = [effect for update in taken for effect in self._effects_of(update)]
        if any(isinstance(update, PendingDelta) for update in taken):
            return effects
        progress = any(isinstance(update, TopicChanged) for update in taken)
        if progress:
            finder.starting = False
        problem = any(isinstance(update, RejectedUpdate) for update in taken)
        early = now - sent.sent_at < _EARLY_S
        if problem or (early and not progress):
            # Not in a hot loop: a body that can't be read, or a second process of this name.
            effects.append(fx.StartTimer(POLL_TIMER, self._retry_delay_s()))
            # An early end without updates asks for a renewal: a role can move.
            return effects if answer.updates else [*effects, EmitEvent(RenewSoon())]
        return effects + self.poll(now)

    def computed(self, event: ev.Computed, now: float) -> list[fx.Effect]:
        """Take the document that a delta gave, and go on polling."""
        delta = self._deltas.pop(event.ticket, None)
        if delta is None:
            return []
        document = None if event.error else event.result
        taken = self.state.topics.take_applied(delta, document)
        effects = self._effects_of(taken)
        return effects if self._sent is not None else effects + self.poll(now)

    def _effects_of(self, taken: TakenUpdate) -> list[fx.Effect]:
        if isinstance(taken, TopicChanged):
            if taken.topic == MEMBERS:
                self.state.finder.learn(tuple(taken.body.core_addresses or ()))
            return [EmitEvent(taken)]
        if isinstance(taken, PendingDelta):
            ticket = self.state.context.identifiers.next()
            self._deltas[ticket] = taken
            return [fx.Compute(ticket, apply_delta, taken.task)]
        if isinstance(taken, RejectedUpdate):
            fields = {"topic": taken.topic, "problem": taken.message}
            return [fx.Log("error", "topic update rejected", fields)]
        return []

    def _retry_delay_s(self) -> float:
        return self.state.context.random.uniform(0.1, 0.3)
