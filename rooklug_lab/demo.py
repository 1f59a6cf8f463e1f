"""The demo: a whole site under traffic, changed and broken while it runs, in under a minute."""

import argparse
import asyncio
import json
import time
from typing import Any

from rooklug_lab.fleet.client import ConditionNotMetError, wait_until
from rooklug_lab.fleet.command import with_fleet
from rooklug_lab.fleet.fleet import Fleet
from rooklug_lab.fleet.warm_up import wait_until_warm
from rooklug_lab.oracles.evidence import Evidence
from rooklug_lab.oracles.promises import judge
from rooklug_lab.scenarios.result import run_figures, shown_violations, unserved
from rooklug_lab.scenarios.scenario_run import ScenarioRun
from rooklug_lab.standins.records import Outcome

STEADY_S = 3.0
EMPTIED_S = 6.5
DOWN_S = 2.0
SETTLE_S = 4.0
IN_FORCE_TIMEOUT_S = 10.0
SHOWN_FAILURES = 20
NO_ONCE_ONLY = "rooklug_once_active 0.0"


class DemoError(Exception):
    """A step of the demo did not come out as promised."""


class Demo:
    """The steps of the demo, each printed with the time it took."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.run = ScenarioRun(fleet, seed)
        self.started_s = time.monotonic()
        self.in_force_s = 0.0
        self.in_force_nodes = 0

    def say(self, text: str) -> None:
        """Print one line with the time since the start."""
        print(f"[{time.monotonic() - self.started_s:5.1f} s] {text}", flush=True)

    async def play(self) -> Evidence:
        """Run all steps; return what was seen."""
        await self._start()
        await self._patch()
        await self._kill_front_and_primary()
        await self._empty_and_restore_zone()
        await asyncio.sleep(SETTLE_S)
        read_back_expected = await self.run.finish()
        await self._measure_in_force()
        return await self.run.gather(read_back_expected)

    async def _start(self) -> None:
        site = self.fleet.deployment
        daemons = f"{len(site.cores)} cores, {len(site.controllers)} controllers"
        self.say(f"{site.name}: starting {daemons}, {len(site.fronts)} fronts, stand-ins")
        await self.fleet.start()
        self.say("configuration 1 is acknowledged, all fronts are ready")
        seconds = await wait_until_warm(self.fleet)
        self.say(f"every route is served in every region and warm after {seconds:.1f} s more")
        await self.run.start_traffic()
        self.say("callers in both regions are being served")
        await asyncio.sleep(STEADY_S)

    async def _patch(self) -> None:
        if not await self.run.change():
            raise DemoError(f"patch: {self.run.problems}")
        await self._measure_in_force()
        self.say(
            f"configuration {self.fleet.next_version - 1}, a patch, is in force on "
            f"{self.in_force_nodes} fronts after {self.in_force_s:.2f} s"
        )

    async def _kill_front_and_primary(self) -> None:
        primary = await self.fleet.primary()
        if not primary:
            raise DemoError("no primary core is known")
        if not await self.run.change():
            raise DemoError(f"patch: {self.run.problems}")
        self.fleet.kill(primary)
        front = await self._front_without_once_only()
        self.fleet.kill(front)
        faults = [
            *self.run.begin("primary-killed", primary),
            *self.run.begin("front-killed", front),
        ]
        self.say(f"killed the primary {primary} right after an acknowledgement, and {front}")
        changed = asyncio.create_task(self.run.change())
        await asyncio.sleep(DOWN_S)
        self.fleet.start_process(primary)
        self.fleet.start_process(front)
        self.run.end(faults)
        if not await changed:
            raise DemoError(f"patch after the primary's death: {self.run.problems}")
        self.say(f"{await self.fleet.primary()} is primary and acknowledged the next patch")
        await self.fleet.wait_ready([front])
        self.say(f"{front} is ready again")

    async def _front_without_once_only(self) -> str:
        """Return a front that holds no once-only request just now.

        One that is lost with its front stays unknown, as promised, and so isn't served; the
        scenario answers-lost is about these.
        """
        fronts = list(self.fleet.deployment.fronts)
        self.run.random.shuffle(fronts)
        for front in fronts:
            figures = await self.fleet.client.request(front.listen_http, "/metrics")
            if NO_ONCE_ONLY in figures.body.decode().splitlines():
                return front.node_id
        raise DemoError("no front is without once-only requests")

    async def _empty_and_restore_zone(self) -> None:
        zone = list(self.fleet.deployment.zone_regions)[1]
        faults = self.run.begin("zone-emptied", zone)
        await self.fleet.apply("empty", zone=zone)
        self.say(f"zone {zone} is emptied")
        await asyncio.sleep(EMPTIED_S)
        await self.fleet.apply("restore", zone=zone)
        self.run.end(faults)
        self.say(f"zone {zone} is restored")

    async def _measure_in_force(self) -> None:
        version = self.fleet.next_version - 1

        async def everywhere() -> bool:
            self.in_force_nodes = await self._fronts_under(version)
            return self.in_force_nodes == len(self.fleet.deployment.fronts)

        acknowledged_s = await self._last_acknowledged_s()
        try:
            await wait_until(everywhere, IN_FORCE_TIMEOUT_S, "configuration in force")
        except ConditionNotMetError as problem:
            behind = await self._versions()
            raise DemoError(f"{problem}: {version} on {self.in_force_nodes}: {behind}") from problem
        self.in_force_s = time.monotonic() - acknowledged_s

    async def print_decisions(self) -> None:
        """Print what the control plane decided, with the causes."""
        reply = (await self.fleet.ask_fronts("/v1/decisions?after=0.0.0&wait_ms=0"))[0]
        for decision in (reply.json() or {}).get("decisions", []):
            at_s = decision["wall_time_ms"] / 1000 - (time.time() - time.monotonic())
            seconds = at_s - self.started_s
            print(f"decided [{seconds:5.1f} s] {decision['summary']} ({decision['cause']})"[:200])

    async def _last_acknowledged_s(self) -> float:
        changes = (await self.fleet.journal(self.fleet.operator_address))["changes"]
        times = [change["acknowledged_s"] for change in changes if change["version"] > 0]
        return max(times)

    async def _fronts_under(self, version: int) -> int:
        return list((await self._versions()).values()).count(str(version))

    async def _versions(self) -> dict[str, str]:
        fronts = self.fleet.deployment.fronts
        replies = await self.fleet.ask_fronts("/v1/config/local")
        return {
            front.node_id: reply.headers.get("x-rooklug-version", "")
            for front, reply in zip(fronts, replies, strict=True)
        }


def closing_line(demo: Demo, evidence: Evidence) -> tuple[str, list[str]]:
    """Return the demo's last line, and what failed."""
    requests = evidence.requests()
    served = [request for request in requests if request.outcome is Outcome.DONE]
    failures = [f"{name}: {texts}" for name, texts in shown_violations(judge(evidence)).items()]
    failures += demo.run.problems
    failures += unserved(evidence)
    verdict = "failed" if failures else "passed"
    line = (
        f"demo: {verdict}, {len(served)} of {len(requests)} requests served, "
        f"configuration {demo.fleet.next_version - 1} in force on {demo.in_force_nodes} of "
        f"{len(demo.fleet.deployment.fronts)} nodes after {demo.in_force_s:.2f} s"
    )
    return line, failures


def run_demo(arguments: argparse.Namespace) -> int:
    """Play the demo; exit 0 only if every request was served and every promise kept."""

    async def act(fleet: Fleet) -> int:
        demo = Demo(fleet, arguments.seed)
        try:
            evidence = await demo.play()
        except (ConditionNotMetError, DemoError) as problem:
            print(f"demo: failed: {problem}")
            return 1
        line, failures = closing_line(demo, evidence)
        _print_figures({**run_figures(evidence), "cost_by_role": demo.run.costs})
        if failures:
            await demo.print_decisions()
        for failure in failures[:SHOWN_FAILURES]:
            print(f"failed: {failure}")
        if len(failures) > SHOWN_FAILURES:
            print(f"failed: {len(failures) - SHOWN_FAILURES} more")
        result_line.append(line)
        return 1 if failures else 0

    result_line: list[str] = []
    code = asyncio.run(with_fleet(arguments.deployment, arguments.seed, arguments.folder, act))
    for line in result_line:
        print(line)
    return code


def _print_figures(figures: dict[str, Any]) -> None:
    for name, value in figures.items():
        if name == "unserved":
            continue
        print(f"{name}: {json.dumps(value)}")
