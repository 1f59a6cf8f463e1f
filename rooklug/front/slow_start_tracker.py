"""Slow start: the traffic share of a new replica, or of a returning region, grows over time.

A slow start belongs to an incarnation of a replica and a model. A replica that was lost (gone
from the view, replaced, or its cache lost) starts again from the smallest share, whatever share
it had before. A model that stays loaded while the plan does not use it is not lost: its slow start
is suspended.

The share of a region is the largest of its replicas' shares. A region whose replicas all return
is thus in slow start as a whole, and so is one that has lost its replicas at full share.

The clock of a slow start runs from the first request that may go to the replica, because a cache
does not fill without traffic.
"""

from collections.abc import Iterable

import attrs

from rooklug.config.document import SlowStart
from rooklug.front.routing_view import RoutingView, ServingReplica

FULL_SHARE = 1.0
# With a configured first share of 0, a replica would never get any request.
MIN_SHARE = 0.01


@attrs.frozen
class SlowStartProgress:
    """State of one slow start.

    Attributes:
        incarnation: Incarnation of the replica.
        warming_up: Whether the plan reports the replica as warming up.
        since: When the slow start was detected; None if the share is full.
        began_at: When its clock started; None while it waits for the first request.
    """

    incarnation: str
    warming_up: bool
    since: float | None
    began_at: float | None = None

    def with_clock_started(self, settings: SlowStart, now: float) -> "SlowStartProgress":
        """Return the state with a running clock, if it has not started yet.

        If the plan no longer reports the replica as warming up and the slow start is older than
        its duration, other fronts have warmed the replica: it gets the full share.
        """
        if self.since is None or self.began_at is not None:
            return self
        if not self.warming_up and now - self.since >= settings.duration_s:
            return attrs.evolve(self, since=None)
        return attrs.evolve(self, began_at=now)


def progress_of(progress: SlowStartProgress | None, settings: SlowStart, now: float) -> float:
    """Return the elapsed fraction of a slow start, 0 to 1; 1 if there is none."""
    if progress is None or progress.since is None or settings.duration_s <= 0:
        return FULL_SHARE
    if progress.began_at is None:
        return 0.0
    return min(FULL_SHARE, max(0.0, now - progress.began_at) / settings.duration_s)


def share_of(progress: SlowStartProgress | None, settings: SlowStart, now: float) -> float:
    """Return the share at ``now``: grows exponentially from ``first_share`` to 1."""
    if progress is None or progress.since is None:
        return FULL_SHARE
    first = max(settings.first_share, MIN_SHARE)
    return first ** (1.0 - progress_of(progress, settings, now))


class SlowStartTracker:
    """All slow starts that one front knows, by replica id and model."""

    def __init__(self) -> None:
        self._settings = SlowStart()
        self._replicas: dict[tuple[str, str], SlowStartProgress] = {}
        self._loaded_unplanned: dict[tuple[str, str], SlowStartProgress] = {}
        self._seen_a_plan = False

    def apply_view(self, view: RoutingView, now: float) -> None:
        """Begin slow starts for new replicas and models, and drop those that are gone.

        Does nothing before the first plan.
        """
        if view.configuration is not None:
            self._settings = view.configuration.slow_start
        if not view.has_plan:
            return
        new_models = self._with_new_models(view)
        replicas: dict[tuple[str, str], SlowStartProgress] = {}
        for model in view.models():
            for replica in view.serving(model):
                key = (replica.replica_id, model)
                has_new_model = replica.replica_id in new_models
                previous = self._replicas.get(key) or self._unplanned_progress(key, replica)
                replicas[key] = self._next_progress(
                    previous, replica, now, has_new_model=has_new_model
                )
        known = {**self._loaded_unplanned, **self._replicas}
        self._loaded_unplanned = {
            key: progress for key, progress in known.items() if key in view.loaded_unplanned
        }
        self._replicas = replicas
        self._seen_a_plan = True

    def record_loss(self, replica_id: str, now: float, model: str = "") -> None:
        """Restart the slow starts of a replica that was lost, of all models or of ``model``."""
        for key, progress in self._replicas.items():
            if key[0] == replica_id and model in ("", key[1]):
                self._replicas[key] = attrs.evolve(progress, since=now, began_at=None)

    def start_clock(self, replica_id: str, model: str, now: float) -> None:
        """Start the clock of a replica that a request may be sent to, if it is in slow start."""
        progress = self._replicas.get((replica_id, model))
        if progress is not None:
            self._replicas[(replica_id, model)] = progress.with_clock_started(self._settings, now)

    def replica_share(self, replica_id: str, model: str, now: float) -> float:
        """Return a replica's traffic share for a model, ``FULL_SHARE`` if not in slow start."""
        return share_of(self._replicas.get((replica_id, model)), self._settings, now)

    def capacity_share(self, replica_id: str, model: str, now: float) -> float:
        """Return the share of its capacity that a replica may use; it grows linearly.

        It is the only limit when no replica is at full share, so it grows faster than the
        traffic share, which applies when such replicas can take the rest.
        """
        progress = progress_of(self._replicas.get((replica_id, model)), self._settings, now)
        first = max(self._settings.first_share, MIN_SHARE)
        return first + (FULL_SHARE - first) * progress

    def slow_start_since(self, replica_id: str, model: str) -> float | None:
        """Return when a replica's slow start was detected, which identifies it; None if none."""
        progress = self._replicas.get((replica_id, model))
        return progress.since if progress else None

    def region_share(self, replicas: Iterable[ServingReplica], model: str, now: float) -> float:
        """Return the traffic share of the region that consists of ``replicas``."""
        return max(self.replica_share(entry.replica_id, model, now) for entry in replicas)

    def _unplanned_progress(
        self, key: tuple[str, str], replica: ServingReplica
    ) -> SlowStartProgress | None:
        """Return the suspended progress of a model that stayed loaded while not planned.

        None if there is none or the cache was lost. If the replica still warms up, its clock
        starts again with the next request.
        """
        progress = self._loaded_unplanned.get(key)
        if progress is None or (replica.warming_up and not progress.warming_up):
            return None
        return attrs.evolve(progress, began_at=None) if replica.warming_up else progress

    def _with_new_models(self, view: RoutingView) -> set[str]:
        """Return the ids of replicas that serve a model which they did not serve before."""
        return {
            replica.replica_id
            for model in view.models()
            for replica in view.serving(model)
            if (replica.replica_id, model) not in self._replicas
        }

    def _next_progress(
        self,
        known: SlowStartProgress | None,
        replica: ServingReplica,
        now: float,
        *,
        has_new_model: bool,
    ) -> SlowStartProgress:
        if known is not None and known.incarnation == replica.incarnation:
            # Loading a new model also sets ``warming_up``; the other models keep their caches.
            cache_was_lost = replica.warming_up and not known.warming_up and not has_new_model
            if not cache_was_lost:
                return attrs.evolve(known, warming_up=replica.warming_up)
            return SlowStartProgress(replica.incarnation, replica.warming_up, now)
        # In the first plan that a front sees, only replicas reported as warming up are new.
        is_new = self._seen_a_plan or replica.warming_up
        return SlowStartProgress(replica.incarnation, replica.warming_up, now if is_new else None)
