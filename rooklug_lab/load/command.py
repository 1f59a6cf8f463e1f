"""``rooklug-lab load``: what one front adds to a request, and at what rate it carries them."""

import argparse
import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

import attrs

from rooklug_lab.fleet.client import ConditionNotMetError
from rooklug_lab.fleet.fleet import Fleet
from rooklug_lab.fleet.subnets import HeldSubnet
from rooklug_lab.load.hop_site import HopSite, build_hop_site
from rooklug_lab.load.open_loop import US_PER_S, LoadShape, LoadTarget, OpenLoop

SERVING_TIMEOUT_S = 30.0
WARM_UP = LoadShape(rate_per_s=50, seconds=2.0)
RESULT_FILE = "load.json"
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def run_load(arguments: argparse.Namespace) -> int:
    """Measure; print one JSON object."""
    shape = LoadShape(
        rate_per_s=arguments.rate,
        seconds=arguments.seconds,
        prompt_bytes=arguments.prompt_bytes,
        max_tokens=arguments.answer_tokens,
        burst_factor=arguments.burst_factor,
        burst_every_s=arguments.burst_every,
        burst_s=arguments.burst_seconds,
    )
    try:
        result = asyncio.run(_measure(shape, arguments.seed, arguments.tokens_per_s))
    except ConditionNotMetError as problem:
        print(f"load: not run: {problem}")
        return 1
    text = json.dumps(result, indent=2)
    if arguments.folder:
        folder = Path(arguments.folder)
        folder.mkdir(parents=True, exist_ok=True)
        (folder / RESULT_FILE).write_text(text)
    print(text)
    return 0 if not any(path["failures"] for path in result["paths"].values()) else 1


async def _measure(shape: LoadShape, seed: int, tokens_per_s: float) -> dict[str, Any]:
    subnet = HeldSubnet()
    with tempfile.TemporaryDirectory(prefix="rooklug-") as folder:
        site = build_hop_site(subnet.number, tokens_per_s)
        fleet = Fleet(site.deployment, Path(folder), seed, relayed=False)
        try:
            await fleet.start()
            await _wait_until_serving(fleet, site, seed)
            return await _compare(site, shape, seed)
        finally:
            await fleet.stop()
            subnet.release()


def _targets(site: HopSite) -> list[LoadTarget]:
    straight = f"http://{site.deployment.replicas[0].address}/api/generate"
    through = f"http://{site.deployment.fronts[0].http_address}/v1/generate"
    return [LoadTarget("straight", straight), LoadTarget("through_front", through)]


async def _wait_until_serving(fleet: Fleet, site: HopSite, seed: int) -> None:
    async def serving() -> bool:
        targets = _targets(site)
        shape = attrs.evolve(WARM_UP, seconds=0.2)
        await OpenLoop(shape, site.route, site.model, seed).run(targets)
        return all(target.served and not target.failures for target in targets)

    await fleet.wait_for(serving, SERVING_TIMEOUT_S, "the front serves")
    await OpenLoop(WARM_UP, site.route, site.model, seed).run(_targets(site))


async def _compare(site: HopSite, shape: LoadShape, seed: int) -> dict[str, Any]:
    targets = _targets(site)
    elapsed_s = await OpenLoop(shape, site.route, site.model, seed).run(targets)
    paths = {target.name: _figures(target, elapsed_s) for target in targets}
    straight, through = (paths[target.name] for target in targets)
    added = {
        what: {
            name: round(through[what][name] - straight[what][name], 3) for name in straight[what]
        }
        for what in ("latency_ms", "first_byte_ms")
    }
    return {
        "shape": attrs.asdict(shape),
        "seed": seed,
        "elapsed_s": round(elapsed_s, 2),
        "paths": paths,
        "added_by_front": added,
    }


def _figures(target: LoadTarget, elapsed_s: float) -> dict[str, Any]:
    return {
        "served": target.served,
        "requests_per_s": round(target.served / elapsed_s, 1),
        "failures": target.failures,
        "latency_ms": _percentiles(target.latency_us),
        "first_byte_ms": _percentiles(target.first_byte_us),
    }


def _percentiles(histogram: Any) -> dict[str, float]:
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) * 1000 / US_PER_S
        for percentile in PERCENTILES
    }
