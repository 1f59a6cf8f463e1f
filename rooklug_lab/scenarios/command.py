"""``rooklug-lab run``: one scenario with real processes, one JSON object at the end."""

import argparse
import asyncio
import json
import sys
from typing import Any

from rooklug_lab.fleet.client import ConditionNotMetError
from rooklug_lab.fleet.command import with_fleet
from rooklug_lab.fleet.fleet import Fleet
from rooklug_lab.oracles.promises import judge
from rooklug_lab.scenarios.catalogue import SCENARIOS, Scenario
from rooklug_lab.scenarios.result import promise_counts, run_figures, shown_violations
from rooklug_lab.scenarios.scenario_run import ScenarioRun

EXIT_UNKNOWN = 2


def run_scenario(arguments: argparse.Namespace) -> int:
    """Run a scenario; exit 0 if all promises were kept."""
    scenario = SCENARIOS.get(arguments.scenario)
    if scenario is None:
        print(f"no scenario {arguments.scenario!r}; see rooklug-lab list", file=sys.stderr)
        return EXIT_UNKNOWN
    result: dict[str, Any] = {
        "scenario": scenario.name,
        "seed": arguments.seed,
        "deployment": arguments.deployment,
    }

    async def act(fleet: Fleet) -> int:
        result.update(await _play(scenario, fleet, arguments.seed))
        return 0 if result["passed"] else 1

    code = asyncio.run(with_fleet(arguments.deployment, arguments.seed, arguments.folder, act))
    print(json.dumps(result, indent=None if arguments.json else 2))
    return code


async def _play(scenario: Scenario, fleet: Fleet, seed: int) -> dict[str, Any]:
    run = ScenarioRun(fleet, seed)
    try:
        await run.start()
        await scenario.action(run)
        evidence = await run.gather(await run.finish())
    except ConditionNotMetError as problem:
        return {"passed": False, "problems": [*run.problems, str(problem)]}
    judged = judge(evidence)
    problems = run.problems + _unexpected_ends(fleet)
    return {
        "promises": promise_counts(judged),
        "violations": shown_violations(judged),
        **run_figures(evidence),
        "cost_by_role": run.costs,
        "problems": problems,
        "passed": not problems and not any(judged.values()),
    }


def _unexpected_ends(fleet: Fleet) -> list[str]:
    return [
        f"{process.name} ended with {process.exit_code}: {process.log_tail()}"
        for process in fleet.processes.values()
        if process.exit_code not in (None, -9)
    ]
