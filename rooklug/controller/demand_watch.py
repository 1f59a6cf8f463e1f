"""The placer's view of demand: the fronts' reports, sampled into a forecast."""

import attrs

from rooklug.config.document import Configuration
from rooklug.controller.demand_forecast import DemandForecast, has_stepped_up
from rooklug.controller.demand_table import DemandTable
from rooklug.placement.problem import DemandKey

SAMPLE_INTERVAL_S = 1.0


@attrs.define
class DemandWatch:
    """Samples the reports every ``SAMPLE_INTERVAL_S`` and detects rises since the last solve."""

    table: DemandTable = attrs.field(factory=DemandTable)
    _forecast: DemandForecast = attrs.field(factory=DemandForecast)
    _sampled_at: float = float("-inf")

    def planned(self) -> dict[DemandKey, float]:
        """Return the demand to plan for by key, in load tokens/s."""
        return self._forecast.planned()

    def sample_if_due(
        self, configuration: Configuration, solved_for: dict[DemandKey, float], now: float
    ) -> list[str]:
        """Sample the reports if the interval has passed.

        Returns one cause text for each key whose planned demand has risen steeply above
        ``solved_for``, the demand of the last solve.
        """
        if now - self._sampled_at < SAMPLE_INTERVAL_S:
            return []
        self._sampled_at = now
        self.table.expire(now)
        self._forecast.sample(self.table.totals(configuration), now)
        planned = self.planned()
        total = sum(planned.values())
        return [
            _describe_step(key, load, solved_for.get(key, 0.0))
            for key, load in planned.items()
            if has_stepped_up(load, solved_for.get(key, 0.0), total)
        ]


def _describe_step(key: DemandKey, load: float, before: float) -> str:
    where = f"{key.model}/{key.latency_class} in {key.source_region}"
    if before <= 0.0:
        return f"demand of {load:.0f} tokens/s for {where}"
    return f"demand up {100.0 * (load / before - 1.0):.0f}% for {where}"
