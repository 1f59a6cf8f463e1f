"""One simulated core machine: its disk, its process, and the documents that it accepts."""

from collections.abc import Callable
from typing import Any

import attrs
from expression import Error, Ok, Result

from rooklug.core.control_state_component import ControlStateComponent
from rooklug.core.documents import DocumentChecker
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, InternalEvent
from rooklug.engine.composite import CompositeReducer
from rooklug.model import internal_events as internal

CORE_IDS = ("core-a", "core-b", "core-c")
LATER_IDS = tuple(f"core-{letter}" for letter in "defghijklmnopqrstuvwxyz")
ADDRESSES = {core_id: f"127.0.0.{i + 1}:7000" for i, core_id in enumerate((*CORE_IDS, *LATER_IDS))}
BY_ADDRESS = {address: core_id for core_id, address in ADDRESSES.items()}
CLIENT = "client"
INVALID = b"invalid"


@attrs.frozen
class StubProblem:
    path: str
    message: str


def stub_read_configuration(data: bytes) -> Result[bytes, tuple[StubProblem, ...]]:
    if data.startswith(INVALID):
        return Error((StubProblem("$", "not a document"), StubProblem("$.a", "too")))
    return Ok(data)


def stub_apply_merge_patch(document: bytes, patch: bytes) -> Result[bytes, tuple[StubProblem, ...]]:
    return Ok(document + b"+" + patch)


STUB_CHECKER = DocumentChecker(stub_read_configuration, stub_apply_merge_patch)


class Recorder(BaseComponent):
    """Records the internal events that other components of a core's process would receive."""

    name = "recorder"
    subscribes_to = (
        internal.PrimaryStarted,
        internal.PrimaryLeaseExtended,
        internal.PrimaryStopped,
        internal.PrimaryChanged,
        internal.ConfigurationCommitted,
        internal.ZonesCommitted,
        internal.CoreStatusChanged,
    )

    def __init__(self) -> None:
        self.seen: list[tuple[float, InternalEvent]] = []
        self.status = None

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        if isinstance(event, internal.CoreStatusChanged):
            self.status = event.status
        elif isinstance(event, InternalEvent):
            self.seen.append((now, event))
        return []


@attrs.define(eq=False)
class SimulatedDisk:
    identity: str
    files: dict[str, list[bytes]] = attrs.field(factory=dict)
    stalled_until: float = 0.0
    busy_until: float = 0.0
    sync: tuple[float, float] | None = None
    problem: str = ""
    full: bool = False
    recorded_seeds: tuple[str, ...] = ()  # named by the mark of the group's first start


@attrs.define(eq=False)
class CallInFlight:
    caller: str
    call_id: int
    incarnation: int
    target: str = ""
    on_answer: Callable[[Any], None] | None = None


class Core:
    """One core: its machine with a disk, and its current process."""

    def __init__(self, core_id: str, disk: SimulatedDisk) -> None:
        self.core_id = core_id
        self.disk = disk
        self.incarnation = 0
        self.alive = False
        self.frozen = False
        self.held_events: list[ev.Event] = []
        self.unsynced: list[fx.WriteRecords | fx.RewriteFile] = []
        self.timers: dict[str, int] = {}
        self.reducer: CompositeReducer | None = None
        self.recorder = Recorder()

    @property
    def component(self) -> ControlStateComponent:
        return self.reducer.components["control-state"]
