"""The first seconds of a new placer: it gathers reports before it decides anything."""

import attrs

from rooklug.controller.fleet_state import FleetState

GATHER_LIMIT_S = 4.0
FRONTS_LIMIT_S = 2.0
FRONTS_SHARE = 0.8
PARTIAL_LIMIT_S = 10.0


@attrs.define
class Takeover:
    """Decides when enough is known to decide, and whether that is still partial.

    Until ``may_decide`` the predecessor's plan stands. While ``is_partial``, loads may be
    ordered, but nothing is unloaded and no weight is shifted.
    """

    started_at: float
    _decided: bool = False
    _complete: bool = False

    def may_decide(
        self, fleet: FleetState, fronts_expected: int, fronts_seen: int, now: float
    ) -> bool:
        """Return whether all replicas are probed and the fronts have reported, or time is up."""
        if not fleet.has_listing:
            return False
        elapsed = now - self.started_at
        replicas_known = self._complete or not fleet.unresolved()
        fronts_known = fronts_seen >= fronts_expected * FRONTS_SHARE
        self._complete = self._complete or (replicas_known and fronts_known)
        fronts_ready = fronts_known or elapsed >= FRONTS_LIMIT_S
        ready = (replicas_known and fronts_ready) or elapsed >= GATHER_LIMIT_S
        self._decided = self._decided or ready
        return self._decided

    def is_partial(self, now: float) -> bool:
        """Return whether decisions still rest on partial knowledge of the fleet."""
        return not self._complete and now - self.started_at < PARTIAL_LIMIT_S
