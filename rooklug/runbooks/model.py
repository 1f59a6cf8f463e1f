"""What a runbook is made of."""

from collections.abc import Awaitable, Callable

import attrs

from rooklug.runbooks.site import Site

DEFAULT_VERIFY_LIMIT_S = 30.0


@attrs.frozen
class Finding:
    """The outcome of a check, an act or a verification; ``message`` is for the operator."""

    good: bool
    message: str

    @staticmethod
    def passed(message: str) -> "Finding":
        """Return a finding that lets the run go on."""
        return Finding(good=True, message=message)

    @staticmethod
    def failed(message: str) -> "Finding":
        """Return a finding that stops the run."""
        return Finding(good=False, message=message)


Action = Callable[[Site], Awaitable[Finding]]


async def nothing_to_check(_site: Site) -> Finding:
    """Pass always."""
    return Finding.passed("nothing to check")


@attrs.frozen
class Step:
    """One step.

    ``check`` decides whether the step may be taken now. ``act`` sends orders to the site, or
    ``by_hand`` says what a person must do at the machines; a step with neither waits for
    what the site does by itself. ``verify`` is repeated until it is good, ``verify_limit_s``
    long. ``undo`` is a sentence.
    """

    title: str
    verify: Action
    undo: str
    check: Action = nothing_to_check
    act: Action | None = None
    by_hand: str = ""
    verify_limit_s: float = DEFAULT_VERIFY_LIMIT_S

    def instruction(self) -> str:
        """Return what the step does, or what a person must do."""
        if self.act is not None:
            return "an order to the site"
        return f"by hand: {self.by_hand}" if self.by_hand else "wait for the site"


@attrs.frozen
class Parameter:
    """A value that a run needs: NAME=VALUE on the command line."""

    name: str
    help: str


@attrs.frozen
class Runbook:
    """A procedure. ``plan(site, values)`` returns its steps for the site as it is."""

    name: str
    title: str
    when: str
    plan: Callable[[Site, dict[str, str]], Awaitable[list[Step]]]
    parameters: tuple[Parameter, ...] = ()
