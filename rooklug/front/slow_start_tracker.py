"""Slow start: the share of a replica that came up, or of a region that came back, grows in steps.

A region's share is the largest of its replicas': one that comes back as a whole starts as one, and
so does one whose replicas at full share have gone while one in slow start is left.

A slow start belongs to a replica's incarnation and a model. Whatever was lost (gone from the view,
replaced, its cache lost) starts from the smallest share when it comes back, however far it was. A
model that stays loaded while the plan does not use it is not lost: its slow start is suspended.

The clock of a slow start begins with the first request that may go there: time without traffic
fills no cache.
"""

from collections.abc import Iterable

import attrs

from rooklug.config.document import SlowStart
from rooklug.front.routing_view import RoutingView, ServingReplica

FULL_SHARE = 1.0
# A configured first share of 0 would never let a replica get any request.
MIN_SHARE = 0.01


@attrs.frozen
class SlowStartProgress:
    """How a share grows.

    ``warming_up`` is what the plan says; ``since`` is when the slow start was found (None: the
    share is full); ``began_at`` when its clock started (None: it waits for the first request).
    """

    incarnation: str
    warming_up: bool
    since: float | None
    began_at: float | None = None

    def with_clock_started(self, settings: SlowStart, now: float) -> "SlowStartProgress":
        """Start the clock; a replica that the plan calls ready meanwhile is ready here, too."""
        if self.since is None or self.began_at is not None:
            return self
        if not self.warming_up and now - self.since >= settings.duration_s:
            return attrs.evolve(self, since=None)
        return attrs.evolve(self, began_at=now)


def progress_of(progress: SlowStartProgress | None, settings: SlowStart, now: float) -> float:
    """Return how far a slow start has got, 0 to 1."""
    if progress is None or progress.since is None or settings.duration_s <= 0:
        return FULL_SHARE
    if progress.began_at is None:
        return 0.0
    return min(FULL_SHARE, max(0.0, now - progress.began_at) / settings.duration_s)


def share_of(progress: SlowStartProgress | None, settings: SlowStart, now: float) -> float:
    """Return the share at ``now``: ``first_share``, then doubling evenly until it is 1."""
    if progress is None or progress.since is None:
        return FULL_SHARE
    first = max(settings.first_share, MIN_SHARE)
    return first ** (1.0 - progress_of(progress, settings, now))


class SlowStartTracker:
    """All slow starts of one front, kept in step with its view."""

    def __init__(self) -> None:
        self._settings = SlowStart()
        self._replicas: dict[tuple[str, str], SlowStartProgress] = {}
        self._loaded_unplanned: dict[tuple[str, str], SlowStartProgress] = {}
        self._seen_a_plan = False

    def apply_view(self, view: RoutingView, now: float) -> None:
        """Start slow starts for what is new in the view, forget what is gone."""
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
        """Restart a replica's slow starts (of all models, or of one): it was found lost."""
        for key, progress in self._replicas.items():
            if key[0] == replica_id and model in ("", key[1]):
                self._replicas[key] = attrs.evolve(progress, since=now, began_at=None)

    def start_clock(self, replica_id: str, model: str, now: float) -> None:
        """Start the clock of a replica that a request may go to."""
        progress = self._replicas.get((replica_id, model))
        if progress is not None:
            self._replicas[(replica_id, model)] = progress.with_clock_started(self._settings, now)

    def replica_share(self, replica_id: str, model: str, now: float) -> float:
        """Return a replica's share for a model."""
        return share_of(self._replicas.get((replica_id, model)), self._settings, now)

    def capacity_share(self, replica_id: str, model: str, now: float) -> float:
        """Return the share of its capacity that a replica may use; it grows linearly.

        It bounds a replica with none at full share beside it, so it grows faster than the share
        of traffic that such a one could take as well.
        """
        progress = progress_of(self._replicas.get((replica_id, model)), self._settings, now)
        first = max(self._settings.first_share, MIN_SHARE)
        return first + (FULL_SHARE - first) * progress

    def slow_start_since(self, replica_id: str, model: str) -> float | None:
        """Return since when a replica is in slow start; it identifies this slow start."""
        progress = self._replicas.get((replica_id, model))
        return progress.since if progress else None

    def region_share(self, replicas: Iterable[ServingReplica], model: str, now: float) -> float:
        """Return the share of a region with these replicas."""
        return max(self.replica_share(entry.replica_id, model, now) for entry in replicas)

    def _unplanned_progress(
        self, key: tuple[str, str], replica: ServingReplica
    ) -> SlowStartProgress | None:
        """Return the progress of a model that stayed loaded, unless its cache was lost."""
        progress = self._loaded_unplanned.get(key)
        if progress is None or (replica.warming_up and not progress.warming_up):
            return None
        return attrs.evolve(progress, began_at=None) if replica.warming_up else progress

    def _with_new_models(self, view: RoutingView) -> set[str]:
        """Return the replicas that serve a model which they did not serve before."""
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
            # A replica also warms up for a new model; its other models keep their caches.
            cache_was_lost = replica.warming_up and not known.warming_up and not has_new_model
            if not cache_was_lost:
                return attrs.evolve(known, warming_up=replica.warming_up)
            return SlowStartProgress(replica.incarnation, replica.warming_up, now)
        # The first plan that a front sees says which replicas are warming up.
        is_new = self._seen_a_plan or replica.warming_up
        return SlowStartProgress(replica.incarnation, replica.warming_up, now if is_new else None)
