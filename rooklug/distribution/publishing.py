"""Sends publications to the primary while their grants are valid."""

import attrs

from rooklug.distribution.link_state import PUBLISH_TIMER, LinkState, SentCall
from rooklug.distribution.publication_outbox import PublicationOutbox
from rooklug.distribution.timing import PUBLISH_DEADLINE_S
from rooklug.engine import effects as fx
from rooklug.wire.generated.control.ttypes import PublishAnswer


@attrs.define
class Publishing:
    """Sends the outbox, with at most one call in flight for each topic."""

    state: LinkState
    outbox: PublicationOutbox = attrs.field(factory=PublicationOutbox)
    _sent: dict[int, SentCall] = attrs.field(factory=dict)

    def owns(self, call_id: int) -> bool:
        """Return whether ``call_id`` is a publication in flight."""
        return call_id in self._sent

    def send(self, now: float) -> list[fx.Effect]:
        """Send the publications that the primary hasn't accepted; drop those without a grant.

        Does nothing without a valid lease from a confirmed primary.
        """
        lease = self.state.lease
        if self.state.stopping or not (self.state.finder.confirmed and lease.valid(now)):
            return []
        topics_in_flight = {sent.request.topic for sent in self._sent.values()}
        effects: list[fx.Effect] = []
        for publication in self.outbox.unsent(lease.epoch):
            grant = lease.grant(publication.role_key, now)
            if grant is None or grant.token != publication.token:
                self.outbox.drop(publication.topic)
            elif publication.topic not in topics_in_flight:
                grant_expires_at = lease.grant_until(publication.role_key, now)
                request = publication.request(lease.epoch)
                sent, call = self.state.call(request, PUBLISH_DEADLINE_S, now, grant_expires_at)
                self._sent[sent.call_id] = sent
                effects.append(call)
        return effects

    def handle_answer(self, call_id: int, answer: PublishAnswer, now: float) -> list[fx.Effect]:
        """Record an accepted publication, or schedule a retry of a rejected one."""
        sent = self._sent.pop(call_id)
        if answer.accepted:
            self.outbox.record_accepted(sent.request, sent.epoch)
            return self.send(now)
        fields = {"topic": sent.request.topic, "reason": answer.reason}
        return [
            fx.Log("warning", "publication rejected by the primary; retrying", fields),
            self._schedule_retry(),
        ]

    def handle_failure(self, call_id: int) -> list[fx.Effect]:
        """Schedule a retry of a publication without an answer."""
        del self._sent[call_id]
        return [self._schedule_retry()]

    def _schedule_retry(self) -> fx.Effect:
        return fx.StartTimer(PUBLISH_TIMER, self.state.context.random.uniform(0.1, 0.3))
