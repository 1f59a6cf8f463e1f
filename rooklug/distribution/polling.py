"""Subscribes to the topics by long poll."""

import attrs

from rooklug.distribution.document_delta import apply_delta
from rooklug.distribution.link_events import RenewalRequested
from rooklug.distribution.link_state import POLL_TIMER, LinkState, SentCall, require_in_flight
from rooklug.distribution.subscribed_topics import PendingDelta, RejectedUpdate, UpdateResult
from rooklug.distribution.timing import POLL_OVERDUE_S
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.model.constants import POLL_ANSWER_DEADLINE_S, POLL_WAIT_S
from rooklug.model.internal_events import TopicChanged
from rooklug.model.topics import MEMBERS
from rooklug.wire.generated.control.ttypes import PollAnswer, PollRequest, TopicMark

_POLL_WAIT_MS = int(POLL_WAIT_S * 1000)
_EARLY_ANSWER_S = POLL_WAIT_S / 2
"""An empty answer sooner than this wasn't a time-out: the primary has ended the poll."""


@attrs.define
class TopicPolling:
    """Keeps one poll in flight, except while a delta of the configuration is being applied."""

    state: LinkState
    _sent: SentCall | None = None
    _pending_deltas: dict[int, PendingDelta] = attrs.field(factory=dict)

    def owns(self, call_id: int) -> bool:
        """Return whether ``call_id`` is the poll in flight."""
        return self._sent is not None and self._sent.call_id == call_id

    def poll(self, now: float) -> list[fx.Effect]:
        """Send a poll; the answer to an earlier one in flight is then ignored."""
        request = PollRequest(
            node_id=self.state.settings.node_id,
            held=self.state.topics.poll_versions(),
            wait_ms=_POLL_WAIT_MS,
        )
        self._sent, call = self.state.call(request, POLL_ANSWER_DEADLINE_S, now)
        return [call, fx.CancelTimer(POLL_TIMER)]

    def switch_core(self, now: float) -> list[fx.Effect]:
        """Poll the present core instead, if the renewal has moved to another one."""
        sent = self._sent
        moved = sent is not None and sent.address != self.state.finder.address
        return self.poll(now) if moved else []

    def poll_if_behind(self, newest: list[TopicMark], now: float) -> list[fx.Effect]:
        """Poll again if the one in flight is overdue and ``newest`` names a newer version.

        Its answer was probably lost: the primary answers a poll as soon as it has an update.
        """
        sent = self._sent
        overdue = sent is not None and now - sent.sent_at > POLL_OVERDUE_S
        return self.poll(now) if overdue and self.state.topics.is_behind(newest) else []

    def handle_failure(self) -> list[fx.Effect]:
        """Move to the next core after a poll without an answer, and retry with backoff."""
        sent, self._sent = require_in_flight(self._sent), None
        return [fx.StartTimer(POLL_TIMER, self.state.finder.record_failure(sent.address))]

    def handle_answer(self, answer: PollAnswer, now: float) -> list[fx.Effect]:
        """Apply the updates of the answer to the poll in flight, and poll again."""
        sent, self._sent = require_in_flight(self._sent), None
        finder = self.state.finder
        if not answer.primary_reachable or answer.epoch < self.state.lease.epoch:
            address = "" if answer.primary_reachable else answer.primary_address
            return [fx.StartTimer(POLL_TIMER, finder.record_redirect(sent.address, address))]
        finder.record_primary_answer(sent.address)
        taken = [self.state.topics.take(update) for update in answer.updates]
        effects = [effect for update in taken for effect in self._effects_of(update)]
        if any(isinstance(update, PendingDelta) for update in taken):
            return effects
        progress = any(isinstance(update, TopicChanged) for update in taken)
        if progress:
            finder.starting = False
        problem = any(isinstance(update, RejectedUpdate) for update in taken)
        early = now - sent.sent_at < _EARLY_ANSWER_S
        if problem or (early and not progress):
            # Delay the next poll: an unreadable body, or a second process with this node id that
            # ends our polls, would cause a hot loop.
            effects.append(fx.StartTimer(POLL_TIMER, self._retry_delay_s()))
            # The primary ends a poll early and without updates to request a renewal.
            return effects if answer.updates else [*effects, EmitEvent(RenewalRequested())]
        return effects + self.poll(now)

    def handle_computed(self, event: ev.Computed, now: float) -> list[fx.Effect]:
        """Store the document that a delta gave, and poll again."""
        delta = self._pending_deltas.pop(event.ticket, None)
        if delta is None:
            return []
        document = None if event.error else event.result
        taken = self.state.topics.apply_document(delta, document)
        effects = self._effects_of(taken)
        return effects if self._sent is not None else effects + self.poll(now)

    def _effects_of(self, taken: UpdateResult) -> list[fx.Effect]:
        if isinstance(taken, TopicChanged):
            if taken.topic == MEMBERS:
                self.state.finder.update_seeds(tuple(taken.body.core_addresses or ()))
            return [EmitEvent(taken)]
        if isinstance(taken, PendingDelta):
            ticket = self.state.context.identifiers.next()
            self._pending_deltas[ticket] = taken
            return [fx.Compute(ticket, apply_delta, taken.task)]
        if isinstance(taken, RejectedUpdate):
            fields = {"topic": taken.topic, "problem": taken.message}
            return [fx.Log("error", "topic update rejected; polling again", fields)]
        return []

    def _retry_delay_s(self) -> float:
        return self.state.context.random.uniform(0.1, 0.3)
