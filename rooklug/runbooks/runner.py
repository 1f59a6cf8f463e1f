"""Runs the steps of a runbook and reports to the operator."""

from collections.abc import Callable

import attrs

from rooklug.runbooks.model import Finding, Runbook, Step
from rooklug.runbooks.site import Site

VERIFY_INTERVAL_S = 0.5


@attrs.frozen
class Operator:
    """The operator's terminal; ``confirm`` asks a question and returns whether it was affirmed."""

    print_line: Callable[[str], None]
    confirm: Callable[[str], bool]


class RunbookRunner:
    """Runs the steps in order; stops at the first that fails and prints how to undo it."""

    def __init__(self, site: Site, operator: Operator) -> None:
        self._site = site
        self._operator = operator

    async def run(self, runbook: Runbook, values: dict[str, str]) -> bool:
        """Plan and run a runbook; return whether every step was verified."""
        steps = await runbook.plan(self._site, values)
        self._operator.print_line(f"{runbook.title}: {len(steps)} step(s)")
        for number, step in enumerate(steps, 1):
            self._operator.print_line(f"\nstep {number} of {len(steps)}: {step.title}")
            if not await self._run_step(step):
                return False
        self._operator.print_line("\ndone: every step was verified")
        return True

    async def _run_step(self, step: Step) -> bool:
        if (await step.verify(self._site)).good:
            self._operator.print_line("  holds already, nothing to do")
            return True
        check = await step.check(self._site)
        self._operator.print_line(f"  check: {check.message}")
        if not check.good:
            self._operator.print_line("  stopped: the check failed, this step did nothing")
            return False
        needs_consent = step.act is not None or step.by_hand != ""
        if needs_consent and not self._operator.confirm(f"{step.instruction()}. Begin?"):
            self._operator.print_line("  stopped by the operator, this step did nothing")
            return False
        if not await self._act(step):
            return False
        return await self._verify(step)

    async def _act(self, step: Step) -> bool:
        if step.act is None:
            self._operator.print_line(f"  {step.instruction()}")
            return True
        done = await step.act(self._site)
        self._operator.print_line(f"  act: {done.message}")
        if not done.good:
            self._print_undo(step)
        return done.good

    async def _verify(self, step: Step) -> bool:
        finding = await self._wait_until_verified(step)
        self._operator.print_line(f"  verify: {finding.message}")
        if not finding.good:
            self._print_undo(step)
        return finding.good

    async def _wait_until_verified(self, step: Step) -> Finding:
        deadline = self._site.clock() + step.verify_limit_s
        while True:
            finding = await step.verify(self._site)
            if finding.good or self._site.clock() >= deadline:
                return finding
            await self._site.sleep(VERIFY_INTERVAL_S)

    def _print_undo(self, step: Step) -> None:
        self._operator.print_line(f"  failed. To undo: {step.undo}")
