"""The types of a runbook: findings, steps, parameters."""

from collections.abc import Awaitable, Callable

import attrs

from rooklug.runbooks.site import Site

DEFAULT_VERIFY_LIMIT_S = 30.0


@attrs.frozen
class Finding:
    """The outcome of a check, action or verification; ``message`` is printed for the operator."""

    good: bool
    message: str

    @staticmethod
    def passed(message: str) -> "Finding":
        """Return a finding with which the run continues."""
        return Finding(good=True, message=message)

    @staticmethod
    def failed(message: str) -> "Finding":
        """Return a finding with which the run stops."""
        return Finding(good=False, message=message)


Action = Callable[[Site], Awaitable[Finding]]


async def nothing_to_check(_site: Site) -> Finding:
    """Pass; the check of a step that needs none."""
    return Finding.passed("nothing to check")


@attrs.frozen
class Step:
    """A step of a runbook.

    ``check`` decides whether the step may start. Then ``act`` sends orders to the site, or
    ``by_hand`` tells the operator what to do at the machines; a step with neither waits for
    the site. ``verify`` is repeated until it passes or ``verify_limit_s`` has elapsed.
    ``undo`` is printed if the step fails.
    """

    title: str
    verify: Action
    undo: str
    check: Action = nothing_to_check
    act: Action | None = None
    by_hand: str = ""
    verify_limit_s: float = DEFAULT_VERIFY_LIMIT_S

    def instruction(self) -> str:
        """Return a description of what the step does or what the operator must do."""
        if self.act is not None:
            return "an order to the site"
        return f"by hand: {self.by_hand}" if self.by_hand else "wait for the site"


@attrs.frozen
class Parameter:
    """A required value, given as NAME=VALUE on the command line."""

    name: str
    help: str


@attrs.frozen
class Runbook:
    """A procedure; ``plan(site, values)`` returns the steps for the current state of the site."""

    name: str
    title: str
    when: str
    plan: Callable[[Site, dict[str, str]], Awaitable[list[Step]]]
    parameters: tuple[Parameter, ...] = ()
