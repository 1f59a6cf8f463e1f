"""Orders the regions for a request by the matrix's preferences and weights and by slow starts."""

from collections.abc import Mapping

import attrs

from rooklug.front.routing_view import Destination, DestinationLevels
from rooklug.front.slow_start_tracker import FULL_SHARE


@attrs.frozen
class RegionStep:
    """One region in the order. ``spilled``: the region's spill share limits such requests."""

    region: str
    spilled: bool


def region_order(
    levels: DestinationLevels,
    shares: Mapping[str, float],
    source_region: str,
    draw: float,
) -> list[RegionStep]:
    """Return the regions to try, the first choice first.

    A region in slow start gets only its share of the traffic that the matrix sends it. The rest
    goes to the next preference levels and does not return to the skipped regions, unless all
    regions are in slow start. Shares are taken relative to the largest one, so that traffic does
    not move between regions that are equally far in their slow starts.

    Args:
        levels: Destinations of the matrix, the preferred level first.
        shares: Slow-start shares of the regions that have a usable replica.
        source_region: The caller's region.
        draw: Random number in [0, 1) derived from the request, the same at each decision.
    """
    usable = [tuple(cell for cell in level if cell.region in shares) for level in levels]
    usable = [level for level in usable if level]
    if not usable:
        return []
    largest = max(shares[cell.region] for level in usable for cell in level)
    skipped: list[RegionStep] = []
    all_in_slow_start = largest < FULL_SHARE
    for number, level in enumerate(usable):
        weights = [cell.weight * shares[cell.region] / largest for cell in level]
        chance = sum(weights) / sum(cell.weight for cell in level)
        if draw < chance or number == len(usable) - 1:
            first = _pick(level, weights, min(draw / chance, 1.0))
            preferred = number == 0
            rest = [cell for cell in level if cell is not first]
            rest.extend(cell for later in usable[number + 1 :] for cell in later)
            return [
                RegionStep(first.region, not preferred and first.region != source_region),
                *(RegionStep(cell.region, cell.region != source_region) for cell in rest),
                *(skipped if all_in_slow_start else ()),
            ]
        skipped.extend(RegionStep(cell.region, number > 0) for cell in level)
        draw = (draw - chance) / (1.0 - chance)
    return skipped


def _pick(level: tuple[Destination, ...], weights: list[float], draw: float) -> Destination:
    point = draw * sum(weights)
    for cell, weight in zip(level, weights, strict=True):
        point -= weight
        if point < 0:
            return cell
    return level[-1]
