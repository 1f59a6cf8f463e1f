"""What happens to traffic between machines: delay, cut, silence; each way by itself."""

from collections.abc import Callable
from enum import Enum

import attrs


class LinkState(Enum):
    """Whether bytes pass, wait in silence, or break the connection."""

    OPEN = "open"
    SILENT = "silent"
    CUT = "cut"


@attrs.frozen
class LinkRule:
    """A fault of one direction; a machine is named by its IP, None means any machine."""

    state: LinkState
    sources: frozenset[str] | None = None
    destinations: frozenset[str] | None = None

    def covers(self, source_ip: str, destination_ip: str) -> bool:
        """Return whether traffic from one machine to the other is under this rule."""
        if source_ip == destination_ip:
            return False
        from_here = self.sources is None or source_ip in self.sources
        to_there = self.destinations is None or destination_ip in self.destinations
        return from_here and to_there


class LinkRules:
    """The rules in force, and the delay between regions. ``on_change`` is called after each."""

    def __init__(self, region_of_ip: Callable[[str], str], one_way_delay_s: float) -> None:
        self._region_of_ip = region_of_ip
        self._one_way_delay_s = one_way_delay_s
        self._rules: list[LinkRule] = []
        self.on_change: Callable[[], None] = lambda: None

    def delay_s(self, source_ip: str, destination_ip: str) -> float:
        """Return the one-way delay between two machines."""
        same = self._region_of_ip(source_ip) == self._region_of_ip(destination_ip)
        return 0.0 if same else self._one_way_delay_s

    def state(self, source_ip: str, destination_ip: str) -> LinkState:
        """Return the worst state that a rule gives this direction."""
        states = [rule.state for rule in self._rules if rule.covers(source_ip, destination_ip)]
        for state in (LinkState.CUT, LinkState.SILENT):
            if state in states:
                return state
        return LinkState.OPEN

    def add(self, *rules: LinkRule) -> None:
        """Put rules in force."""
        self._rules += rules
        self.on_change()

    def remove(self, *rules: LinkRule) -> None:
        """Lift rules that were added."""
        for rule in rules:
            self._rules.remove(rule)
        self.on_change()


def isolation(machines: frozenset[str], state: LinkState) -> tuple[LinkRule, LinkRule]:
    """Return the rules that part ``machines`` from everybody else, both ways.

    Machines of the group are parted from one another too.
    """
    return (LinkRule(state, sources=machines), LinkRule(state, destinations=machines))
