"""Renews the node's lease and role grants, and releases them at shutdown."""

import attrs

from rooklug.distribution.link_events import LeaseReleased
from rooklug.distribution.link_state import (
    EXPIRY_TIMER,
    RENEW_TIMER,
    LinkState,
    SentCall,
    require_in_flight,
)
from rooklug.distribution.timing import (
    MAX_RELEASE_ATTEMPTS,
    RENEW_SOON_S,
    RENEWAL_DEADLINE_S,
    RENEWAL_JITTER,
    ROLE_RENEWAL_S,
)
from rooklug.engine import effects as fx
from rooklug.engine.component import EmitEvent
from rooklug.model.constants import NODE_LEASE_RENEWAL_S, ROLE_LEASE_S
from rooklug.model.internal_events import GrantsChanged
from rooklug.model.topics import CONFIGURATION
from rooklug.model.versions import ZERO_VERSION
from rooklug.wire.generated.control.ttypes import NodeRecord, RenewLeaseAnswer

_FULL_ROLE_LEASE_MS = int(ROLE_LEASE_S * 1000)


@attrs.define
class LeaseRenewal:
    """Sends renewals, one at a time; only the answer to the latest is handled.

    ``ready`` and ``draining`` are reported with each renewal.
    """

    state: LinkState
    ready: bool
    draining: bool = False
    _sent: SentCall | None = None
    _renew_again: bool = False
    _release_attempts: int = 0

    def owns(self, call_id: int) -> bool:
        """Return whether ``call_id`` is the renewal in flight."""
        return self._sent is not None and self._sent.call_id == call_id

    def node_record(self) -> NodeRecord:
        """Return the record that this node reports with a renewal; a stopping node isn't ready."""
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
        """Send a renewal; if one is in flight, send another right after its answer."""
        if self._sent is not None:
            self._renew_again = True
            return []
        request = self.state.lease.next_request(
            self.node_record(), now, releases=self.state.stopping
        )
        request.group_is_starting = self._is_group_starting() or None
        self._sent, call = self.state.call(request, RENEWAL_DEADLINE_S, now)
        return [call]

    def _is_group_starting(self) -> bool:
        """Return whether this node was started with the group and has heard of no primary since."""
        knows_no_primary = not self.state.lease.epoch
        knows_no_topic = self.state.topics.version(CONFIGURATION) == ZERO_VERSION
        return self.state.settings.started_with_group and knows_no_primary and knows_no_topic

    def switch_core(self) -> list[fx.Effect]:
        """Renew soon at the core that polling has moved to, unless a renewal is in flight."""
        if self._sent is not None or self.state.stopping:
            return []
        return [fx.StartTimer(RENEW_TIMER, self.state.jittered_delay_s())]

    def handle_answer(self, answer: RenewLeaseAnswer, now: float) -> list[fx.Effect]:
        """Apply the answer to the renewal in flight, and schedule the next one.

        An answer of an earlier epoch comes from a core that is no longer the primary.
        """
        sent, self._sent = require_in_flight(self._sent), None
        lease, finder = self.state.lease, self.state.finder
        if not answer.granted or answer.epoch < lease.epoch:
            address = "" if answer.granted else answer.primary_address
            return self._retry_after(finder.record_redirect(sent.address, address))
        finder.record_primary_answer(sent.address)
        if self.state.stopping:
            return [EmitEvent(LeaseReleased(confirmed=True))]
        before = {grant.role_key for grant in lease.grants(now)}
        changed = lease.apply_answer(answer, now)
        after = {grant.role_key for grant in lease.grants(now)}
        immediately = bool(before - after) or self._renew_again or _has_unextended_grant(answer)
        self._renew_again = False
        effects = [self.grants_changed(now)] if changed else []
        effects += self.schedule_grant_expiry(now)
        return [
            *effects,
            fx.StartTimer(RENEW_TIMER, self._next_renewal_delay_s(now, immediately=immediately)),
        ]

    def handle_failure(self) -> list[fx.Effect]:
        """Move to the next core after a renewal without an answer, and retry with backoff."""
        sent, self._sent = require_in_flight(self._sent), None
        return self._retry_after(self.state.finder.record_failure(sent.address))

    def _retry_after(self, backoff_s: float) -> list[fx.Effect]:
        if not self.state.stopping:
            return [fx.StartTimer(RENEW_TIMER, backoff_s)]
        self._release_attempts += 1
        if self._release_attempts >= MAX_RELEASE_ATTEMPTS:
            return [EmitEvent(LeaseReleased(confirmed=False))]
        return [fx.StartTimer(RENEW_TIMER, self.state.jittered_delay_s())]

    def _next_renewal_delay_s(self, now: float, *, immediately: bool) -> float:
        if immediately:
            return self.state.jittered_delay_s()
        jitter = 1.0 - RENEWAL_JITTER * self.state.context.random.random()
        end = self.state.lease.next_expiry()
        if end is None:
            return NODE_LEASE_RENEWAL_S * jitter
        return min(ROLE_RENEWAL_S * jitter, max((end - now) / 2, RENEW_SOON_S))

    def release(self, now: float) -> list[fx.Effect]:
        """Drop the lease and all grants, and send a renewal that releases them at the core.

        It supersedes the one in flight, whose answer is then ignored.
        """
        self._sent = None
        had_grants = self.state.lease.drop_all()
        effects: list[fx.Effect] = [fx.CancelTimer(RENEW_TIMER), fx.CancelTimer(EXPIRY_TIMER)]
        if had_grants:
            effects.append(self.grants_changed(now))
        return effects + self.renew(now)

    def expire_grants(self, now: float) -> list[fx.Effect]:
        """Drop the grants that have expired at ``now``; the effects report the change."""
        return [self.grants_changed(now)] if self.state.lease.expire(now) else []

    def schedule_grant_expiry(self, now: float) -> list[fx.Effect]:
        """Set the timer for the end of the first grant to expire."""
        end = self.state.lease.next_expiry()
        if end is None:
            return [fx.CancelTimer(EXPIRY_TIMER)]
        return [fx.StartTimer(EXPIRY_TIMER, max(0.0, end - now))]

    def grants_changed(self, now: float) -> fx.Effect:
        """Return the effect that reports the grants that are valid at ``now``."""
        return EmitEvent(GrantsChanged(self.state.lease.grants(now)))


def _has_unextended_grant(answer: RenewLeaseAnswer) -> bool:
    """Return whether a grant is not extended yet.

    A new primary extends a grant only after it was announced in the new term, so the node
    announces it again immediately.
    """
    return any(grant.lease_ms < _FULL_ROLE_LEASE_MS for grant in answer.grants)
