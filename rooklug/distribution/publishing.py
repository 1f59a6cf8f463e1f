"""Sends the outbox's publications to the primary while their grants are valid."""

import attrs

from rooklug.distribution.link_state import PUBLISH_TIMER, LinkState, SentCall
from rooklug.distribution.publication_outbox import PublicationOutbox
from rooklug.distribution.timing import PUBLISH_DEADLINE_S
from rooklug.engine import effects as fx
from rooklug.wire.generated.control.ttypes import PublishAnswer


@attrs.define
class Publishing:
    """One call a topic is in flight at a time."""

    state: LinkState
    outbox: PublicationOutbox = attrs.field(factory=PublicationOutbox)
    _sent: dict[int, SentCall] = attrs.field(factory=dict)

    def owns(self, call_id: int) -> bool:
        """Return whether a call is a publication in flight."""
        return call_id in self._sent

    def send(self, now: float) -> list[fx.Effect]:
        """Send what the primary doesn't have yet."""
        lease = self.state.lease
        if self.state.stopping or not (self.state.finder.confirmed and lease.valid(now)):
            return []
        busy = {sent.request.topic for sent in self._sent.values()}
        effects: list[fx.Effect] = []
        for publication in self.outbox.unsent(lease.epoch):
            grant = lease.grant(publication.role_key, now)
            if grant is None or grant.token != publication.token:
                self.outbox.drop(publication.topic)
            elif publication.topic not in busy:
                until = lease.grant_until(publication.role_key, now)
                request = publication.request(lease.epoch)
                sent, call = self.state.call(request, PUBLISH_DEADLINE_S, now, until)
                self._sent[sent.call_id] = sent
                effects.append(call)
        return effects

    def answered(self, call_id: int, answer: PublishAnswer, now: float) -> list[fx.Effect]:
        """Take the answer to a publication in flight."""
        sent = self._sent.pop(call_id)
        if answer.accepted:
            self.outbox.record_accepted(sent.request, sent.epoch)
            return self.send(now)
        fields = {"topic": sent.request.topic, "reason": answer.reason}
        return [fx.Log("warning", "publication rejected", fields), self._later()]

    def failed(self, call_id: int) -> list[fx.Effect]:
        """A publication in flight got no answer."""
        del self._sent[call_id]
        return [self._later()]

    def _later(self) -> fx.Effect:
        return fx.StartTimer(PUBLISH_TIMER, self.state.context.random.uniform(0.1, 0.3))
