"""Which replicas the placer wants to be probed soon, and which need few probes."""

from collections.abc import Iterable

import attrs

from rooklug.controller.fleet_state import FleetState
from rooklug.controller.health import Verdict

URGENT_FOR_S = 3.0
REQUEST_SPACING_S = 0.5


@attrs.frozen
class UrgencyLists:
    """The replica ids in the answer to one prober's report.

    ``probe_soon`` are to be probed at once; ``steady`` serve requests and need fewer probes.
    """

    probe_soon: tuple[str, ...]
    steady: tuple[str, ...]


@attrs.define
class ProbeUrgency:
    """Remembers urgent replicas for ``URGENT_FOR_S``, or until a report shows a change."""

    _until: dict[str, float] = attrs.field(factory=dict)
    _requested_at: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def want_probe(self, replica_id: str, now: float) -> None:
        """Mark a replica as urgent: an order to it has completed, or it has become suspect."""
        self._until[replica_id] = now + URGENT_FOR_S

    def change_seen(self, replica_id: str) -> None:
        """Clear the mark: a report has shown a change of the replica's models or incarnation."""
        self._until.pop(replica_id, None)

    def lists_for(
        self, prober: str, shard: Iterable[str], fleet: FleetState, now: float
    ) -> UrgencyLists:
        """Return the lists for one prober, given the replica ids of its ``shard``.

        Suspect replicas are listed for every prober, so that a second observer can confirm or
        contradict the first one. Each replica is requested from a prober at most once per
        ``REQUEST_SPACING_S``.
        """
        own_ids = set(shard)
        self._until = {key: until for key, until in self._until.items() if until > now}
        soon = []
        steady = []
        for replica_id, replica in fleet.replicas.items():
            if replica.listed.leaving:
                continue
            suspect = replica.verdict is Verdict.SUSPECT
            own = replica_id in own_ids
            wanted = replica_id in self._until or replica.health.front_sees_it_failing(now)
            if (suspect or (own and wanted)) and self._may_request(prober, replica_id, now):
                soon.append(replica_id)
            elif own and not suspect and replica.health.front_sees_it_serving(now):
                steady.append(replica_id)
        return UrgencyLists(tuple(soon), tuple(steady))

    def _may_request(self, prober: str, replica_id: str, now: float) -> bool:
        requested_at = self._requested_at.get((prober, replica_id), float("-inf"))
        if now - requested_at < REQUEST_SPACING_S:
            return False
        self._requested_at[prober, replica_id] = now
        return True
