"""The start of a placer term: collects reports before the first decision."""

import attrs

from rooklug.controller.fleet_state import FleetState

GATHER_LIMIT_S = 4.0
FRONTS_LIMIT_S = 2.0
FRONTS_SHARE = 0.8
PARTIAL_LIMIT_S = 10.0


@attrs.define
class Takeover:
    """Tracks whether a new term knows enough to decide, and whether its knowledge is still partial.

    Until ``may_decide``, the previous term's plan stays in force. While ``is_partial``, loads may
    be ordered, but nothing is unloaded and no weights are shifted. ``started_at`` is the beginning
    of the term in monotonic seconds.
    """

    started_at: float
    _decided: bool = False
    _complete: bool = False

    def may_decide(
        self, fleet: FleetState, fronts_expected: int, fronts_seen: int, now: float
    ) -> bool:
        """Return whether the term may decide; once true, it stays true.

        It needs a listing, results for all replicas, and reports of ``FRONTS_SHARE`` of the
        fronts. It waits at most ``FRONTS_LIMIT_S`` for the fronts and ``GATHER_LIMIT_S`` in all.
        """
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
        """Return whether reports are still missing; at most ``PARTIAL_LIMIT_S`` after the start."""
        return not self._complete and now - self.started_at < PARTIAL_LIMIT_S
