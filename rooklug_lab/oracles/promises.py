"""The promises by name, each with its oracle."""

from collections.abc import Callable

from rooklug_lab.oracles import availability, configuration, execution, orders
from rooklug_lab.oracles.evidence import Evidence, Violation

Oracle = Callable[[Evidence], list[Violation]]

PROMISES: dict[str, Oracle] = {
    "runs_at_most_once": execution.runs_at_most_once,
    "not_run_never_runs": execution.not_run_never_runs,
    "answers_are_whole": execution.answers_are_whole,
    "stays_home": execution.stays_home,
    "in_force_soon": configuration.in_force_soon,
    "never_slides_back": configuration.never_slides_back,
    "one_winner": configuration.one_winner,
    "read_back_is_newest": configuration.read_back_is_newest,
    "leaving_gets_nothing": availability.leaving_gets_nothing,
    "emptied_zone_gets_nothing": availability.emptied_zone_gets_nothing,
    "cold_gets_a_trickle": availability.cold_gets_a_trickle,
    "old_orders_are_fenced": orders.old_orders_are_fenced,
    "quarter_served_soon": availability.quarter_served_soon,
}


def judge(evidence: Evidence) -> dict[str, list[Violation]]:
    """Return every promise with its violations (none: kept, as far as this run shows)."""
    return {name: oracle(evidence) for name, oracle in PROMISES.items()}
