"""How fast replicas read prompts, learned from the waits for first bytes."""

import attrs

FIRST_TOKENS_PER_S = 30_000.0
"""Taken before anything is known."""
LEAST_TOKENS = 1_500
"""Shorter reads tell more of fixed costs than of the rate."""
SAMPLE_WEIGHT = 0.05
BOUNDS = (1_000.0, 1_000_000.0)


@attrs.define
class ReadRate:
    """A moving average over all replicas that this front sends to."""

    tokens_per_s: float = FIRST_TOKENS_PER_S
    _sent: dict[int, tuple[int, float]] = attrs.field(factory=dict)

    def sent(self, call_id: int, tokens: int, now: float) -> None:
        """Note a request and the tokens that are read until its first byte."""
        if tokens >= LEAST_TOKENS:
            self._sent[call_id] = (tokens, now)

    def heard(self, call_id: int, now: float) -> None:
        """Learn from the first byte of an answer."""
        tokens, sent_at = self._sent.pop(call_id, (0, 0.0))
        if not tokens or now <= sent_at:
            return
        rate = min(max(tokens / (now - sent_at), BOUNDS[0]), BOUNDS[1])
        self.tokens_per_s += SAMPLE_WEIGHT * (rate - self.tokens_per_s)

    def ended(self, call_id: int) -> None:
        """Forget a request that got no byte."""
        self._sent.pop(call_id, None)
