"""The order of regions for a request, from the matrix's preferences, weights and slow starts."""

from collections.abc import Mapping

import attrs

from rooklug.front.routing_view import Destination, DestinationLevels
from rooklug.front.slow_start_tracker import FULL_SHARE


@attrs.frozen
class RegionStep:
    """One region in the order. ``spilled``: its spill weight bounds what it takes over."""

    region: str
    spilled: bool


def region_order(
    levels: DestinationLevels,
    shares: Mapping[str, float],
    source_region: str,
    draw: float,
) -> list[RegionStep]:
    """Return the regions to try, the first choice first.

    ``shares`` are the slow-start shares of the regions with a replica that may get requests;
    ``draw`` (0..1) is the request's own: the same at each decision.
    A region in slow start gets its share of what the matrix sends it; the rest goes to the next
    preferences, and waits for them: it does not come back while another region is at full
    share. Shares count relative to the largest one, so that regions that are all in slow start
    lose nothing to one another.
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
