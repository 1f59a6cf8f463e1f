"""What the other fronts of a region have under way at each replica, as they told last."""

import attrs

STALE_S = 0.6
"""A peer that was silent for so long counts as having nothing under way."""


@attrs.frozen
class Use:
    """Requests without an end, and prompt tokens of those without a byte of an answer."""

    running: int = 0
    waiting_tokens: int = 0


NO_USE = Use()


@attrs.frozen
class _Told:
    at: float
    incarnation: str
    sequence: int
    uses: dict[str, Use]


@attrs.define
class PeerLoads:
    """The newest word of each peer. It changes decisions only; nothing is promised by it."""

    _told: dict[str, _Told] = attrs.field(factory=dict)

    def take(
        self, node_id: str, incarnation: str, sequence: int, uses: dict[str, Use], now: float
    ) -> bool:
        """Take a peer's message; tell whether it is newer than what is held."""
        known = self._told.get(node_id)
        if known and known.incarnation == incarnation and known.sequence >= sequence:
            return False
        self._told[node_id] = _Told(now, incarnation, sequence, uses)
        return True

    def at_replica(self, replica_id: str, now: float) -> Use:
        """Return what all peers together have under way at a replica."""
        running = waiting_tokens = 0
        for told in self._told.values():
            use = told.uses.get(replica_id)
            if use is not None and now - told.at <= STALE_S:
                running += use.running
                waiting_tokens += use.waiting_tokens
        return Use(running, waiting_tokens)

    def all_but(self, node_id: str, now: float) -> dict[str, Use]:
        """Return what all peers but one have under way, by replica."""
        totals: dict[str, Use] = {}
        for name, told in self._told.items():
            if name == node_id or now - told.at > STALE_S:
                continue
            for replica_id, use in told.uses.items():
                sum_ = totals.get(replica_id, NO_USE)
                totals[replica_id] = Use(
                    sum_.running + use.running, sum_.waiting_tokens + use.waiting_tokens
                )
        return totals

    def forget_except(self, node_ids: frozenset[str]) -> None:
        """Drop the fronts that are not ready any more."""
        self._told = {key: told for key, told in self._told.items() if key in node_ids}
