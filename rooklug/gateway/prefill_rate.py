"""Estimates the rate at which replicas prefill prompts, from the time to the first byte."""

import attrs

INITIAL_TOKENS_PER_S = 30_000.0
"""Assumed until the first observation."""
MIN_SAMPLE_TOKENS = 1_500
"""Shorter prefills are ignored: fixed costs dominate their duration."""
SAMPLE_WEIGHT = 0.05
"""Weight of one observation in the moving average."""
MIN_TOKENS_PER_S = 1_000.0
MAX_TOKENS_PER_S = 1_000_000.0


@attrs.define
class PrefillRate:
    """Exponential moving average over all replicas that this front sends to."""

    tokens_per_s: float = INITIAL_TOKENS_PER_S
    _sent: dict[int, tuple[int, float]] = attrs.field(factory=dict)
    """Tokens and monotonic send time of the calls being observed, by call id."""

    def record_send(self, call_id: int, tokens: int, now: float) -> None:
        """Start observing a call; ``tokens`` are prefilled before its first byte."""
        if tokens >= MIN_SAMPLE_TOKENS:
            self._sent[call_id] = (tokens, now)

    def record_response(self, call_id: int, now: float) -> None:
        """Update the rate at the first byte of a response; later bytes have no effect."""
        tokens, sent_at = self._sent.pop(call_id, (0, 0.0))
        if not tokens or now <= sent_at:
            return
        rate = min(max(tokens / (now - sent_at), MIN_TOKENS_PER_S), MAX_TOKENS_PER_S)
        self.tokens_per_s += SAMPLE_WEIGHT * (rate - self.tokens_per_s)

    def record_end(self, call_id: int) -> None:
        """Stop observing a call that ended without a byte."""
        self._sent.pop(call_id, None)
