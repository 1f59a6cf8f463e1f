"""Renews the node's lease and role grants, and releases them at the end."""

import attrs

from rooklug.distribution.link_events import LeaseReleased
from rooklug.distribution.link_state import EXPIRY_TIMER, RENEW_TIMER, LinkState, SentCall, ended
from rooklug.distribution.timing import (
    LEAVE_ATTEMPTS,
    RENEW_SOON_S,
    RENEWAL_DEADLINE_S,
    RENEWAL_JITTER,
    ROLE_RENEWAL_S,
)
from rooklug.engine import effects as fx
from rooklug.engine.component import EmitEvent
from rooklug.model.constants import LEASE_RENEWAL_S, ROLE_LEASE_S
from rooklug.model.internal_events import GrantsChanged
from rooklug.model.topics import CONFIGURATION
from rooklug.wire.generated.control.ttypes import NodeRecord, RenewLeaseAnswer

_FULL_ROLE_LEASE_MS = int(ROLE_LEASE_S * 1000)


@attrs.define
class LeaseRenewal:
    """One renewal is in flight at a time; only the answer to the latest counts."""

    state: LinkState
    ready: bool
    draining: bool = False
    _sent: SentCall | None = None
    _again: bool = False
    _leave_attempts: int = 0

    def owns(self, call_id: int) -> bool:
        """Return whether a call is the renewal in flight."""
        return self._sent is not None and self._sent.call_id == call_id

    def record(self) -> NodeRecord:
        """Return what this node says of itself."""
        settings = self.state.settings
        return NodeRecord(
            node_id=settings.node_id,
            role=settings.role,
            zone=settings.zone,
            region=settings.region,
            internal_address=settings.internal_address,
            http_address=settings.http_address,
            incarnation=self.state.context.incarnation,
            ready=self.ready and not self.state.stopping,
            draining=self.draining or self.state.stopping,
            configuration=self.state.topics.version(CONFIGURATION),
        )

    def renew(self, now: float) -> list[fx.Effect]:
        """Send a renewal, or another one after that in flight."""
        if self._sent is not None:
            self._again = True
            return []
        request = self.state.lease.request(self.record(), now, releases=self.state.stopping)
        self._sent, call = self.state.call(request, RENEWAL_DEADLINE_S, now)
        return [call]

    def follow(self) -> list[fx.Effect]:
        """Renew at the core that the poll has found."""
        if self._sent is not None or self.state.stopping:
            return []
        return [fx.StartTimer(RENEW_TIMER, self.state.jittered_delay_s())]

    def answered(self, answer: RenewLeaseAnswer, now: float) -> list[fx.Effect]:
        """Take the answer to the renewal in flight."""
        sent, self._sent = ended(self._sent), None
        lease, finder = self.state.lease, self.state.finder
        if not answer.granted or answer.epoch < lease.epoch:
            address = "" if answer.granted else answer.primary_address
            return self._unsuccessful(finder.redirected(sent.address, address))
        finder.answered_as_primary(sent.address)
        if self.state.stopping:
            return [EmitEvent(LeaseReleased(confirmed=True))]
        before = {grant.role_key for grant in lease.grants(now)}
        changed = lease.take(answer, now)
        after = {grant.role_key for grant in lease.grants(now)}
        immediately = bool(before - after) or self._again or _not_extended(answer)
        self._again = False
        effects = [self.grants_changed(now)] if changed else []
        effects += self.watch_grants(now)
        return [
            *effects,
            fx.StartTimer(RENEW_TIMER, self._next_renewal(now, immediately=immediately)),
        ]

    def failed(self) -> list[fx.Effect]:
        """The renewal in flight got no answer."""
        sent, self._sent = ended(self._sent), None
        return self._unsuccessful(self.state.finder.failed(sent.address))

    def _unsuccessful(self, backoff_s: float) -> list[fx.Effect]:
        if not self.state.stopping:
            return [fx.StartTimer(RENEW_TIMER, backoff_s)]
        self._leave_attempts += 1
        if self._leave_attempts >= LEAVE_ATTEMPTS:
            return [EmitEvent(LeaseReleased(confirmed=False))]
        return [fx.StartTimer(RENEW_TIMER, self.state.jittered_delay_s())]

    def _next_renewal(self, now: float, *, immediately: bool) -> float:
        if immediately:
            return self.state.jittered_delay_s()
        jitter = 1.0 - RENEWAL_JITTER * self.state.context.random.random()
        end = self.state.lease.next_end()
        if end is None:
            return LEASE_RENEWAL_S * jitter
        return min(ROLE_RENEWAL_S * jitter, max((end - now) / 2, RENEW_SOON_S))

    def leave(self, now: float) -> list[fx.Effect]:
        """Release the lease and all grants."""
        self._sent = None
        had_grants = self.state.lease.drop_all()
        effects: list[fx.Effect] = [fx.CancelTimer(RENEW_TIMER), fx.CancelTimer(EXPIRY_TIMER)]
        if had_grants:
            effects.append(self.grants_changed(now))
        return effects + self.renew(now)

    def expire_grants(self, now: float) -> list[fx.Effect]:
        """Drop the grants that have expired by this node's clock."""
        return [self.grants_changed(now)] if self.state.lease.expire(now) else []

    def watch_grants(self, now: float) -> list[fx.Effect]:
        """Wake up when the first grant ends."""
        end = self.state.lease.next_end()
        if end is None:
            return [fx.CancelTimer(EXPIRY_TIMER)]
        return [fx.StartTimer(EXPIRY_TIMER, max(0.0, end - now))]

    def grants_changed(self, now: float) -> fx.Effect:
        """Return the event of the grants that are valid now."""
        return EmitEvent(GrantsChanged(self.state.lease.grants(now)))


def _not_extended(answer: RenewLeaseAnswer) -> bool:
    """A new primary extends a grant only once it is announced in its own term."""
    return any(grant.lease_ms < _FULL_ROLE_LEASE_MS for grant in answer.grants)
