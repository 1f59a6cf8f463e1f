"""Measures the cost of membership at the core.

Run ``PYTHONPATH=. .venv/bin/python -m tests.membership_measure``; it prints one JSON line for each
figure. Times include the reducer and thrift encoding and decoding, but no sockets.
"""

import json
import sys
import tracemalloc
from collections.abc import Callable
from hashlib import sha256
from time import perf_counter

from rooklug.config.json_text import canonical_bytes
from rooklug.distribution.document_delta import ApplyTask, DeltaTask, apply_delta, make_deltas
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.membership.membership_component import MembershipComponent
from rooklug.model import internal_events as internal
from rooklug.model.settings import CoreSettings, NodeSettings
from rooklug.model.topics import ALL_TOPICS, CONFIGURATION, MEMBERS
from rooklug.wire.codec import decode, encode
from rooklug.wire.generated.control import ttypes
from rooklug.wire.generated.control.ttypes import VersionMark

NODES = 390
ROUNDS = 50
NOW = 1000.0
ZERO = VersionMark(0, 0)


def report(name: str, value: float, unit: str) -> None:
    """Print one figure as a JSON line."""
    print(json.dumps({"figure": name, "value": round(value, 2), "unit": unit}), flush=True)


def median_s(run: Callable[[], None], rounds: int) -> float:
    """Return the median duration of ``rounds`` runs, in seconds."""
    durations = []
    for _ in range(rounds):
        started_at = perf_counter()
        run()
        durations.append(perf_counter() - started_at)
    return sorted(durations)[rounds // 2]


def started_component() -> MembershipComponent:
    """Return the component of a core that is the primary with a valid lease."""
    node = NodeSettings("core-a", "core", "z", "r", "", "", "127.0.0.1:1", "", ())
    context = ProcessContext("core-a", "1", None, Identifiers())
    component = MembershipComponent(CoreSettings(node, {}), context)
    component.handle(internal.PrimaryStarted(3), NOW - 10)
    component.handle(internal.PrimaryLeaseExtended(3, NOW + 1e6), NOW - 10)
    return component


def renewal(index: int, sequence: int, ready: bool = True) -> bytes:
    """Return an encoded renewal of one of the nodes."""
    address = f"127.0.{index // 250}.{index % 250}"
    node = ttypes.NodeRecord(
        f"front-{index:03}", "front", f"zone-{index % 3}", "region-1", f"{address}:7001",
        f"{address}:7002", f"incarnation-{index:08}", ready, False, VersionMark(3, 12),
    )  # fmt: skip
    return encode(ttypes.RenewLeaseRequest(node, [], False, sequence, 3))


def poll(component: MembershipComponent, index: int, call_id: int) -> list[fx.Effect]:
    """Deliver a poll of a node that has the newest version of every topic."""
    known_versions = [
        ttypes.TopicMark(topic, component.state.store.version(topic)) for topic in ALL_TOPICS
    ]
    data = encode(ttypes.PollRequest(f"front-{index:03}", known_versions, 10_000))
    request = decode(ttypes.PollRequest, data).ok
    return component.handle(ev.CallArrived(call_id, "", request), NOW)


def encode_answers(effects: list[fx.Effect]) -> int:
    """Encode all answers, as the runtime does; return their total size in bytes."""
    return sum(len(encode(e.answer)) for e in effects if isinstance(e, fx.Answer))


def measure_renewals(component: MembershipComponent) -> None:
    """Measure a renewal at a core with 390 nodes, from request bytes to answer bytes."""
    requests = [[renewal(i, 100 + n) for i in range(NODES)] for n in range(ROUNDS)]
    rounds = iter(requests)

    def run() -> None:
        for data in next(rounds):
            request = decode(ttypes.RenewLeaseRequest, data).ok
            encode_answers(component.handle(ev.CallArrived(1, "", request), NOW))

    report("renewal", median_s(run, ROUNDS) / NODES * 1e6, "us")


def measure_polls(component: MembershipComponent) -> None:
    """Measure the time and memory of a pending poll, and the empty answer when it times out."""

    def poll_all() -> None:
        for index in range(NODES):
            poll(component, index, index)

    poll_all_s = median_s(poll_all, ROUNDS)
    report("poll parked (and an earlier one ended)", poll_all_s / NODES * 1e6, "us")
    component.state.polls.release_all()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    poll_all()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    report("memory of a parked poll", (after - before) / NODES, "bytes")
    started_at = perf_counter()
    encode_answers(component.state.poll_answers(component.state.polls.expire(NOW + 20), NOW))
    report("poll answered empty", (perf_counter() - started_at) / NODES * 1e6, "us")


def measure_change(component: MembershipComponent, name: str, change: Callable[[], list]) -> None:
    """Measure a change that is sent to 390 pending polls."""
    durations, sizes = [], []
    for _ in range(ROUNDS // 5):
        for index in range(NODES):
            poll(component, index, index)
        started_at = perf_counter()
        effects = change()
        handled = perf_counter()
        size = encode_answers(effects)
        durations.append((handled - started_at, perf_counter() - handled))
        sizes.append(size)
    reduce_s, encode_s = sorted(durations)[len(durations) // 2]
    report(f"{name} to {NODES} polls: reducer", reduce_s * 1e3, "ms")
    report(f"{name} to {NODES} polls: encoding the answers", encode_s * 1e3, "ms")
    report(f"{name} to {NODES} polls: bytes", sizes[-1], "bytes")


def document(routes: int, deadline: float) -> bytes:
    """Return a configuration with ``routes`` routes as canonical JSON."""
    route = {
        "kind": "model", "model": "model-1", "latency_class": "chat", "priority": 1,
        "home_regions": ["cairo", "alexandria"], "tenant": "tenant-1",
    }  # fmt: skip
    table = {f"route-{n:05}": route | {"deadline_s": 30 + n % 7} for n in range(routes)}
    table["route-00042"] = route | {"deadline_s": deadline}
    return canonical_bytes({"regions": {}, "models": {}, "routes": table})


def measure_delta(routes: int) -> None:
    """Measure the size and time of a delta that changes one route."""
    base, target = document(routes, 1.5), document(routes, 2.5)
    report(f"{routes} routes: whole document", len(target), "bytes")
    (patch,) = make_deltas(DeltaTask((base,), target))
    body = ttypes.ConfigurationBody(2, sha256(target).hexdigest(), patch)
    update = ttypes.TopicUpdate(CONFIGURATION, VersionMark(3, 2), VersionMark(3, 1), encode(body))
    report(f"{routes} routes: delta as sent", len(encode(update)), "bytes")
    make_s = median_s(lambda: make_deltas(DeltaTask((base, base), target)), 5)
    report(f"{routes} routes: deltas made for two bases", make_s * 1e3, "ms")
    task = ApplyTask(base, patch, body.digest)
    report(f"{routes} routes: delta applied", median_s(lambda: apply_delta(task), 5) * 1e3, "ms")


def main() -> int:
    """Run all measurements."""
    component = started_component()
    for index in range(NODES):
        request = decode(ttypes.RenewLeaseRequest, renewal(index, 1)).ok
        component.handle(ev.CallArrived(1, "", request), NOW)
    measure_renewals(component)
    measure_polls(component)
    sequence = iter(range(10_000, 20_000))
    flags = iter([False, True] * ROUNDS)

    def member_changes() -> list[fx.Effect]:
        request = decode(ttypes.RenewLeaseRequest, renewal(7, next(sequence), next(flags))).ok
        component.handle(ev.CallArrived(1, "", request), NOW)
        return component.handle(ev.TimerFired("publish-members"), NOW)

    def zones_change() -> list[fx.Effect]:
        body = ttypes.ZonesBody(["zone-1"])
        event = internal.ZonesCommitted(VersionMark(3, next(sequence)), body)
        return component.handle(event, NOW)

    measure_change(component, "members", member_changes)
    measure_change(component, "zones", zones_change)
    (members,) = component.state.store.newer_than((ttypes.TopicMark(MEMBERS, ZERO),))
    report("members: whole body", len(members.body), "bytes")
    for routes in (500, 5000):
        measure_delta(routes)
    return 0


if __name__ == "__main__":
    sys.exit(main())
