"""What a front knows of a replica from its own requests."""

import attrs

from rooklug.front.health import ReplicaHealth

SILENCE_S = 0.9
"""A replica with requests under way that says nothing for so long is passed over."""


@attrs.define
class ReplicaLoad:
    """Requests under way and signs of life.

    ``waiting`` maps the calls that had no byte of an answer yet to the prompt tokens that
    the replica reads for them; ``silent_since`` is when the present silence began.
    """

    health: ReplicaHealth = attrs.field(factory=ReplicaHealth)
    running: int = 0
    waiting: dict[int, int] = attrs.field(factory=dict)
    silent_since: float = 0.0
    reading_since: float = 0.0

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens that are still to be read before a new request's."""
        return sum(self.waiting.values())

    def unread_tokens(self, tokens_per_s: float, now: float) -> int:
        """Return the waiting tokens less what has probably been read of them by now."""
        read = (now - self.reading_since) * tokens_per_s
        return max(int(self.waiting_tokens - read), 0)

    def sent(self, call_id: int, tokens: int, now: float) -> None:
        """Count a request that goes out."""
        if not self.running:
            self.silent_since = now
        self.running += 1
        if not self.waiting:
            self.reading_since = now
        self.waiting[call_id] = tokens

    def heard(self, call_id: int, now: float) -> None:
        """Note bytes of an answer."""
        self.silent_since = now
        if self.waiting.pop(call_id, None) is not None:
            self.reading_since = now

    def ended(self, call_id: int, now: float) -> None:
        """Count the end of a request."""
        self.running = max(self.running - 1, 0)
        self.waiting.pop(call_id, None)

    def is_silent(self, now: float) -> bool:
        """Tell whether answers are due and nothing comes at all."""
        return self.running > 0 and now - self.silent_since > SILENCE_S
