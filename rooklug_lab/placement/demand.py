"""Demand of a day, by minute: a smooth daily curve a region, noise, and bursts.

Stand-in curves of ours. Payroll: a working day in each region, Cairo's an hour after
Alexandria's. Quiz: evenings, Austland's two hours before Vestland's.
"""

from math import exp
from random import Random

import attrs

from rooklug.placement.problem import DemandKey

MINUTES = 24 * 60


@attrs.frozen
class DailyCurve:
    """Demand of one key (tokens/s): ``base`` plus ``peak`` around ``centre_h``."""

    key: DemandKey
    base: float
    peak: float
    centre_h: float
    width_h: float

    def at(self, minute: int) -> float:
        """Return the expected demand at a minute of the day."""
        hours = (minute / 60.0 - self.centre_h + 12.0) % 24.0 - 12.0
        return self.base + self.peak * exp(-((hours / self.width_h) ** 4))


def _curves(
    region_hours: dict[str, float],
    peaks: dict[str, float],
    homes: dict[str, str],
    width_h: float,
) -> tuple[DailyCurve, ...]:
    return tuple(
        DailyCurve(
            DemandKey(model, "only", region, (homes[model],) if model in homes else ()),
            0.05 * peak,
            peak,
            centre,
            width_h,
        )
        for model, peak in peaks.items()
        for region, centre in region_hours.items()
    )


CURVES = {
    "payroll": _curves(
        {"cairo": 13.0, "alexandria": 10.0},
        {"contracts": 320.0, "deductions": 330.0, "payslip-notes": 220.0},
        {"payslip-notes": "cairo"},
        3.5,
    ),
    "quiz": _curves(
        {"vestland": 20.5, "austland": 17.5},
        {"rounds": 420.0, "disputes": 300.0, "banter": 1900.0},
        {"disputes": "vestland"},
        2.2,
    ),
}
BURSTS_A_DAY = 4
BURST_MINUTES = 12
BURST_FACTOR = 1.6


def demand_of_day(name: str, seed: int, days: int = 1) -> list[dict[DemandKey, float]]:
    """Return the demand (tokens/s) by minute of ``days`` days."""
    random = Random(f"demand/{name}/{seed}")
    curves = CURVES[name]
    noise = dict.fromkeys((curve.key for curve in curves), 0.0)
    minutes = []
    for _ in range(days):
        scale = random.uniform(0.9, 1.1)
        bursts = [
            (random.randrange(MINUTES), random.choice(curves).key) for _ in range(BURSTS_A_DAY)
        ]
        for minute in range(MINUTES):
            now = {}
            for curve in curves:
                noise[curve.key] = 0.9 * noise[curve.key] + random.gauss(0.0, 0.03)
                load = curve.at(minute) * scale * max(0.0, 1.0 + noise[curve.key])
                if any(
                    key == curve.key and start <= minute < start + BURST_MINUTES
                    for start, key in bursts
                ):
                    load *= BURST_FACTOR
                now[curve.key] = load
            minutes.append(now)
    return minutes
