"""The scenarios by name."""

from collections.abc import Awaitable, Callable

import attrs

from rooklug_lab.scenarios import actions
from rooklug_lab.scenarios.scenario_run import ScenarioRun


@attrs.frozen
class Scenario:
    """A scenario: its name and what it does."""

    name: str
    action: Callable[[ScenarioRun], Awaitable[None]]

    @property
    def description(self) -> str:
        """A sentence about it."""
        return self.action.__doc__.strip()


_ACTIONS = (
    actions.steady,
    actions.kill_core,
    actions.kill_zone,
    actions.kill_all,
    actions.silent_primary,
    actions.silent_placer,
    actions.freeze_primary,
    actions.freeze_placer,
    actions.lose_disk,
    actions.lose_all_disks,
    actions.replica_leaving,
    actions.zone_emptied,
    actions.replicas_cold,
    actions.answers_lost,
    actions.broken_streams,
    actions.regions_parted,
    actions.rolling_restart,
    actions.change_storm,
)

SCENARIOS = {
    action.__name__.replace("_", "-"): Scenario(action.__name__.replace("_", "-"), action)
    for action in _ACTIONS
}
