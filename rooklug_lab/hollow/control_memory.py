"""What control adds to the memory of a front: its process with and without it.

Run ``python -m rooklug_lab.hollow.control_memory [--fronts 390 --replicas 830]``. It measures
two fresh processes, one JSON line each: the request path alone (no core link, no operators'
API, no topics), and a whole front that has got every topic of the size, several plans and a
changed configuration.
"""

import argparse
import gc
import json
import subprocess
import sys
from hashlib import sha256
from random import Random
from types import SimpleNamespace
from typing import Any

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.model.settings import NodeSettings
from rooklug.runtime.process_metrics import resident_bytes

WITHOUT = "without"
WITH = "with"
PLANS = 5
_EPOCH = 3
_MEGABYTE = 1e6
_SETTINGS = NodeSettings(
    "front-north-a-10",
    "front",
    "north-a",
    "north",
    "127.0.0.1:0",
    "127.0.0.1:0",
    "127.0.0.1:1",
    "127.0.0.1:2",
    ("127.0.0.1:3",),
)


def _context() -> ProcessContext:
    return ProcessContext(_SETTINGS.node_id, "1", Random(1), Identifiers())


def run_without() -> Any:
    """Build the request path with a core link that does nothing."""
    import rooklug.runtime.host
    from rooklug.engine.composite import CompositeReducer
    from rooklug.front.build import build_front_components

    nothing = SimpleNamespace(connected=False, role_owner=lambda key: None)
    components = build_front_components(_SETTINGS, _context(), nothing)
    kept = [component for component in components if component.name != "demand"]
    reducer = CompositeReducer(kept)
    reducer.handle(ev.Started(), 0.0)
    return reducer, rooklug.runtime.host


def run_with(fronts: int, replicas: int) -> Any:
    """Build a whole front and give it all topics."""
    import rooklug.runtime.host
    from rooklug.cli.compose import compose_front
    from rooklug.wire.packing import encode_packed

    updates = [[_update(*update) for update in batch] for batch in _batches(fronts, replicas)]
    reducer = compose_front(_SETTINGS, _context())
    poll = _first_poll(reducer)
    for batch in updates:
        poll = _answered(reducer, poll, batch)
    return reducer, rooklug.runtime.host, encode_packed


def _first_poll(reducer: Any) -> fx.Call:
    started = reducer.handle(ev.Started(), 0.0)
    timers = [effect.name for effect in started if isinstance(effect, fx.StartTimer)]
    calls = [effect for name in timers for effect in reducer.handle(ev.TimerFired(name), 0.1)]
    return _poll_in(calls)


def _poll_in(effects: list[fx.Effect]) -> fx.Call:
    calls = [effect for effect in effects if isinstance(effect, fx.Call)]
    return next(call for call in calls if type(call.request).__name__ == "PollRequest")


def _answered(reducer: Any, poll: fx.Call, updates: list[Any]) -> fx.Call:
    from rooklug.wire.generated.control.ttypes import PollAnswer

    answer = PollAnswer(updates, True, _EPOCH, poll.address)
    effects = reducer.handle(ev.CallAnswered(poll.call_id, answer), 0.2)
    for effect in [entry for entry in effects if isinstance(entry, fx.Compute)]:
        result = effect.function(effect.argument)
        effects += reducer.handle(ev.Computed(effect.ticket, result), 0.3)
    return _poll_in(effects)


def _update(topic: str, counter: int, body: Any, base: int | None = None) -> Any:
    from rooklug.wire.generated.control.ttypes import TopicUpdate, VersionMark
    from rooklug.wire.packing import encode_packed

    patch_base = None if base is None else VersionMark(_EPOCH, base)
    return TopicUpdate(topic, VersionMark(_EPOCH, counter), patch_base, encode_packed(body))


def _batches(fronts: int, replicas: int) -> list[list[tuple]]:
    """Return polls' answers: everything, then plans, then a changed configuration."""
    from rooklug.distribution.document_delta import DeltaTask, make_deltas
    from rooklug.model import topics
    from rooklug.wire.generated.control.ttypes import ConfigurationBody
    from rooklug_lab.hollow import bodies
    from rooklug_lab.hollow.site import build_site
    from rooklug_lab.hollow.size import HollowSize

    site = build_site(HollowSize(fronts, replicas), 20)
    target = site.document.replace(b'"deadline_s":30,', b'"deadline_s":31.5,', 1)
    (patch,) = make_deltas(DeltaTask((site.document,), target))
    changed = ConfigurationBody(2, sha256(target).hexdigest(), patch)
    everything = [
        (topics.CONFIGURATION, 1, bodies.configuration_body(site)),
        (topics.MEMBERS, 1, bodies.members_body(site)),
        (topics.REPLICAS, 1, bodies.replicas_body(site)),
        (topics.PLAN, 1, bodies.plan_body(site)),
    ]
    plans = [[(topics.PLAN, 2 + number, bodies.plan_body(site))] for number in range(PLANS)]
    return [everything, *plans, [(topics.CONFIGURATION, 2, changed, 1)]]


def _report(mode: str, fronts: int, replicas: int) -> None:
    kept = run_without() if mode == WITHOUT else run_with(fronts, replicas)
    gc.collect()
    resident_mb = round(resident_bytes() / _MEGABYTE, 1)
    print(
        json.dumps({"control": mode, "resident_mb": resident_mb, "parts": len(kept[0].components)})
    )


def main() -> None:
    """Start one fresh process for each mode, or be one of them."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--fronts", type=int, default=390)
    parser.add_argument("--replicas", type=int, default=830)
    parser.add_argument("--mode", choices=(WITHOUT, WITH))
    given = parser.parse_args()
    if given.mode:
        _report(given.mode, given.fronts, given.replicas)
        return
    size = ["--fronts", str(given.fronts), "--replicas", str(given.replicas)]
    command = [sys.executable, "-m", "rooklug_lab.hollow.control_memory", *size]
    for mode in (WITHOUT, WITH):
        subprocess.run([*command, "--mode", mode], check=True)


if __name__ == "__main__":
    main()
