"""``rooklug-lab fleet``: a site that stays up until it is interrupted."""

import argparse
import asyncio
import signal
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from rooklug_lab.deployment import build_deployment
from rooklug_lab.fleet.fleet import Fleet
from rooklug_lab.fleet.subnets import HeldSubnet


async def with_fleet(
    deployment: str, seed: int, folder: str, action: Callable[[Fleet], Awaitable[int]]
) -> int:
    """Build a fleet on a free subnet, run ``action``, and stop everything."""
    subnet = HeldSubnet()
    with tempfile.TemporaryDirectory(prefix="rooklug-") as temporary:
        site = build_deployment(deployment, subnet.number, hidden_ports=True)
        fleet = Fleet(site, Path(folder or temporary), seed)
        try:
            return await action(fleet)
        finally:
            await fleet.stop()
            subnet.release()


def run_fleet(arguments: argparse.Namespace) -> int:
    """Start a site and keep it until SIGINT or SIGTERM."""

    async def keep(fleet: Fleet) -> int:
        stopping = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stopping.set)
        await fleet.start()
        if arguments.callers:
            await fleet.start_callers()
        print(f"{fleet.deployment.name} is up; files in {fleet.folder}")
        for front in fleet.deployment.fronts:
            print(f"  {front.node_id:24} http://{front.http_address}")
        print("stop with Ctrl-C", flush=True)
        await stopping.wait()
        return 0

    return asyncio.run(with_fleet(arguments.deployment, arguments.seed, arguments.folder, keep))
