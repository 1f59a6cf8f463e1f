"""Print a digest of everything that one simulated run does, for ``compare_behaviour.py``.

Run with the root of the checkout that is to be traced as the working directory and first on
``PYTHONPATH``. Every event that a ``CompositeReducer`` handles and every effect that it returns
goes into a running SHA-256; one line is printed for each ``EVENTS_PER_LINE`` events and one for
the end, so that the first line that differs names the place to look. ``--show N`` prints the
events that belong to line N in full.

Values are written by position, so that a renamed field changes nothing. Renamed classes and log
messages are translated by the two tables below: an entry maps the earlier name to the present one.
"""

import argparse
import hashlib
import importlib
import inspect
import sys
from collections.abc import Callable
from enum import Enum
from typing import Any

import attrs

EVENTS_PER_LINE = 500

RENAMED_CLASSES: dict[str, str] = {
    "HttpBodyPiece": "HttpBodyChunk",
    "HttpResponseEnded": "HttpResponseCompleted",
    "HttpStreamPiece": "HttpStreamChunk",
    "PrimaryKnown": "PrimaryChanged",
    "RenewSoon": "RenewalRequested",
}
"""Earlier class name to present one, for each class that a trace prints."""

RENAMED_LOG_MESSAGES: dict[str, str] = {
    "a check failed": "configuration check failed",
    "a committed configuration can't be read; serving on": "unreadable configuration ignored",
    "a plan failed": "region plan failed; keeping the published matrix",
    "a publication was refused": "publication rejected",
    "a replica knows a newer placer, standing by": "fenced by a newer placer's token; standing by",
    "a snapshot can't be read": "snapshot unreadable",
    "a try failed": "attempt failed; retrying if no answer has started",
    "a view change failed": "view change failed",
    "an operator's recovery begins": "operator-confirmed recovery started",
    "an update can't be taken": "topic update rejected",
    "answer not sent": "answer can't be encoded; dropped",
    "can't listen": "listen failed; exiting",
    "changes the members": "changing the voting members",
    "claims are not intact": "claim file unusable; shard emptied and not intact",
    "claims can't be written": "claim write failed; store not intact until restart",
    "configuration not readable, the last stands": "configuration rejected; keeping the last one",
    "connection closed": "malformed frame received; connection closed",
    "data folder refused": "data folder refused; exiting",
    "draining": "drain started; stopping once no request is active",
    "drops members that are late": "removing late members from the in-sync set",
    "fault in a task of the runtime": "unhandled exception in a runtime task",
    "knows the replicas": "list of replicas updated",
    "leads a view": "became primary of a view",
    "leads no more": "lost leadership",
    "leases expired without renewal": "leases expired without renewal; nodes removed",
    "leases have ended without a renewal": "leases expired without renewal",
    "nothing published: no grant": "publication dropped: no valid grant",
    "platform list lost most replicas at once": "platform list lost most replicas; retaining them",
    "platform list not taken": "platform poll failed; keeping the published list and retrying",
    "publication rejected": "publication rejected by the primary; retrying",
    "serves under a configuration": "configuration applied",
    "solve failed": "solve failed; spreading the models evenly instead",
    "stopped at the end of the grace period": "grace period over; stopping the reducer now",
    "the configuration can't be read": "configuration rejected; keeping the previous one",
    "the disk did not finish in time": "disk writes unfinished at the limit; not waiting longer",
    "the list of replicas can't be read": "list of replicas unreadable; keeping the previous list",
    "the witness votes again": "witness may vote again",
    "this core takes part no more": "stopped participating",
    "this disk begins a new life": "disk starts a new incarnation",
    "topic update rejected": "topic update rejected; polling again",
}
"""Earlier log message to present one."""


def canonical(value: Any) -> str:
    """Return a text that depends on types and values, but not on field names or addresses."""
    if value is None or isinstance(value, bool | int | float | str | bytes):
        return repr(value)
    if isinstance(value, Enum):
        return f"{_class_name(value)}#{list(type(value)).index(value)}"
    if isinstance(value, dict):
        return "{" + ",".join(f"{canonical(k)}:{canonical(v)}" for k, v in value.items()) + "}"
    if isinstance(value, list | tuple):
        return "[" + ",".join(canonical(item) for item in value) + "]"
    if isinstance(value, set | frozenset):
        return "{" + ",".join(sorted(canonical(item) for item in value)) + "}"
    return _canonical_object(value)


def _canonical_object(value: Any) -> str:
    if inspect.isroutine(value):
        return "function"
    if hasattr(value, "thrift_spec"):
        fields = [getattr(value, spec[2]) for spec in value.thrift_spec if spec]
    elif attrs.has(type(value)):
        fields = [getattr(value, field.name) for field in attrs.fields(type(value))]
    else:
        fields = []
    return f"{_class_name(value)}({','.join(canonical(field) for field in fields)})"


def _class_name(value: Any) -> str:
    name = type(value).__name__
    return RENAMED_CLASSES.get(name, name)


def _canonical_effect(effect: Any) -> str:
    if type(effect).__name__ == "Log":
        level, message, fields = (
            getattr(effect, field.name) for field in attrs.fields(type(effect))
        )
        message = RENAMED_LOG_MESSAGES.get(message, message)
        return f"Log({level!r},{message!r},{canonical(fields)})"
    return canonical(effect)


class Trace:
    """The running digest of all events and effects."""

    def __init__(self, shown_line: int | None) -> None:
        self._shown_line = shown_line
        self._digest = hashlib.sha256()
        self._events = 0

    def add(self, now: float, event: Any, effects: list[Any]) -> None:
        """Take one event with the effects that followed it."""
        text = f"{now!r} {canonical(event)} -> {';'.join(map(_canonical_effect, effects))}"
        if self._shown_line == self._events // EVENTS_PER_LINE:
            print(text)
        self._digest.update(text.encode())
        self._events += 1
        if self._events % EVENTS_PER_LINE == 0:
            self._print_line()

    def finish(self) -> None:
        """Print the last line."""
        self._print_line()

    def _print_line(self) -> None:
        if self._shown_line is None:
            line = (self._events - 1) // EVENTS_PER_LINE
            print(f"line {line}, {self._events} events: {self._digest.hexdigest()}")


def _record_into(trace: Trace) -> None:
    composite = importlib.import_module("rooklug.engine.composite")
    handle = composite.CompositeReducer.handle

    def traced(reducer: Any, event: Any, now: float) -> list[Any]:
        effects = handle(reducer, event, now)
        trace.add(now, event, effects)
        return effects

    composite.CompositeReducer.handle = traced


def trace_sim(scenario: str, seed: str, deployment: str) -> None:
    """Run a scenario of ``rooklug-lab sim``."""
    run = importlib.import_module("rooklug_lab.sim.runner").run_scenario(
        scenario, int(seed), deployment
    )
    print(run.report.as_json())


def trace_gateway(scenario: str, seed: str) -> None:
    """Run a scenario of ``rooklug-lab gateway``."""
    run = importlib.import_module("rooklug_lab.gateway.scenarios").run_gateway_scenario(
        scenario, int(seed)
    )
    print(len(run.journal.attempts), run.served_share, run.broken)


def trace_core(seed: str) -> None:
    """Run one seed of the random faults of the core's own test cluster."""
    importlib.import_module("tests.core_faults").run_seed(int(seed))


def trace_replacements(seed: str) -> None:
    """Run one seed of the faults in which members of the core are replaced."""
    faults = importlib.import_module("tests.core_faults")
    faults.run_seed(int(seed), kind=faults.Replacements)


def trace_explorer(view_changes: str, crashes: str, proposals: str, lost_disks: str) -> None:
    """Explore the epoch protocol's states within a budget; print their number."""
    states = importlib.import_module("tests.core_exploration_states")
    budget = states.Budget(int(view_changes), int(crashes), int(proposals), int(lost_disks))
    explore = importlib.import_module("tests.core_exploration").explore
    print(canonical(explore(states.first_world(budget), 12_000)))


CASES: dict[str, Callable[..., None]] = {
    "sim": trace_sim,
    "gateway": trace_gateway,
    "core": trace_core,
    "replacements": trace_replacements,
    "explorer": trace_explorer,
}


def main() -> int:
    """Trace the case that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("case", choices=CASES)
    parser.add_argument("arguments", nargs="*")
    parser.add_argument("--show", type=int, metavar="LINE")
    options = parser.parse_args()
    trace = Trace(options.show)
    _record_into(trace)
    CASES[options.case](*options.arguments)
    trace.finish()
    return 0


if __name__ == "__main__":
    sys.exit(main())
