"""A front's own calls at one replica, and whether the replica still responds to them."""

import attrs

from rooklug.front.health import ReplicaHealth

RESPONSE_TIMEOUT_S = 0.9
"""A replica with calls in flight that sends nothing for this long counts as unresponsive."""


@attrs.define
class ReplicaLoad:
    """Calls in flight at a replica and its last activity. Times are monotonic seconds.

    ``queued_prefills`` maps the id of each call that has not received a byte to the prompt tokens
    that the replica must prefill for it. ``last_activity_at`` is the last time that the replica
    sent anything, or the time of the first call after a period without calls.
    ``prefill_started_at`` is the approximate time at which it started to prefill the oldest queued
    prompt.
    """

    health: ReplicaHealth = attrs.field(factory=ReplicaHealth)
    running: int = 0
    queued_prefills: dict[int, int] = attrs.field(factory=dict)
    last_activity_at: float = 0.0
    prefill_started_at: float = 0.0

    @property
    def queued_prefill_tokens(self) -> int:
        """Prompt tokens that the replica must prefill before those of a new request."""
        return sum(self.queued_prefills.values())

    def remaining_prefill_tokens(self, tokens_per_s: float, now: float) -> int:
        """Return the queued tokens minus those that have probably been prefilled by now."""
        read = (now - self.prefill_started_at) * tokens_per_s
        return max(int(self.queued_prefill_tokens - read), 0)

    def record_send(self, call_id: int, tokens: int, now: float) -> None:
        """Record a call to the replica, which must prefill ``tokens`` of the prompt."""
        if not self.running:
            self.last_activity_at = now
        self.running += 1
        if not self.queued_prefills:
            self.prefill_started_at = now
        self.queued_prefills[call_id] = tokens

    def record_response(self, call_id: int, now: float) -> None:
        """Record that bytes of a response have arrived; the first ones end the call's prefill."""
        self.last_activity_at = now
        if self.queued_prefills.pop(call_id, None) is not None:
            self.prefill_started_at = now

    def record_end(self, call_id: int, now: float) -> None:
        """Record that a call has ended, with or without a response."""
        self.running = max(self.running - 1, 0)
        self.queued_prefills.pop(call_id, None)

    def is_unresponsive(self, now: float) -> bool:
        """Return whether calls are in flight and the replica has sent nothing for too long."""
        return self.running > 0 and now - self.last_activity_at > RESPONSE_TIMEOUT_S
