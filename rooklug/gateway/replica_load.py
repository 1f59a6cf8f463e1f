"""What a front knows of one replica from its own calls."""

import attrs

from rooklug.front.health import ReplicaHealth

RESPONSE_TIMEOUT_S = 0.9
"""A replica with calls in flight that sends nothing for so long is passed over."""


@attrs.define
class ReplicaLoad:
    """Calls in flight at a replica, and its signs of life. Times are monotonic seconds.

    ``queued_prefills`` maps the calls without a byte of an answer to the prompt tokens that the
    replica must read for them. ``last_activity_at`` is the last time that it sent anything, or
    the time of the first call after it had none. ``prefill_started_at`` is about when it began
    to read the oldest queued prompt.
    """

    health: ReplicaHealth = attrs.field(factory=ReplicaHealth)
    running: int = 0
    queued_prefills: dict[int, int] = attrs.field(factory=dict)
    last_activity_at: float = 0.0
    prefill_started_at: float = 0.0

    @property
    def queued_prefill_tokens(self) -> int:
        """Prompt tokens that the replica reads before a new request's."""
        return sum(self.queued_prefills.values())

    def remaining_prefill_tokens(self, tokens_per_s: float, now: float) -> int:
        """Return the queued tokens less those that have probably been read by now."""
        read = (now - self.prefill_started_at) * tokens_per_s
        return max(int(self.queued_prefill_tokens - read), 0)

    def record_send(self, call_id: int, tokens: int, now: float) -> None:
        """Count a request that goes out; ``tokens`` of its prompt must be read."""
        if not self.running:
            self.last_activity_at = now
        self.running += 1
        if not self.queued_prefills:
            self.prefill_started_at = now
        self.queued_prefills[call_id] = tokens

    def record_response(self, call_id: int, now: float) -> None:
        """Note bytes of an answer."""
        self.last_activity_at = now
        if self.queued_prefills.pop(call_id, None) is not None:
            self.prefill_started_at = now

    def record_end(self, call_id: int, now: float) -> None:
        """Count the end of a request."""
        self.running = max(self.running - 1, 0)
        self.queued_prefills.pop(call_id, None)

    def is_unresponsive(self, now: float) -> bool:
        """Return whether answers are due and nothing comes at all."""
        return self.running > 0 and now - self.last_activity_at > RESPONSE_TIMEOUT_S
