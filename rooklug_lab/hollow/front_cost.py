"""What each topic's change costs one front, without sockets, at the full size.

Run ``python -m rooklug_lab.hollow.front_cost``; one JSON line a figure. Times are of the
thread's processor time, medians.
"""

import json
import time
from collections.abc import Callable
from hashlib import sha256
from statistics import median
from typing import Any

from rooklug.config.document_reader import read_configuration
from rooklug.distribution.document_delta import ApplyTask, DeltaTask, apply_delta, make_deltas
from rooklug.front.routing_view import ViewSources
from rooklug.front.view_building import build_routing_view
from rooklug.wire.codec import decode, encode
from rooklug_lab.hollow import bodies
from rooklug_lab.hollow.site import HollowSite, build_site
from rooklug_lab.hollow.size import HollowSize

ROUNDS = 9
SUBNET = 20


def cost_ms(run: Callable[[], Any], rounds: int = ROUNDS) -> float:
    """Return the median processor time of ``run`` in milliseconds."""
    times = []
    for _ in range(rounds):
        begun = time.thread_time()
        run()
        times.append(time.thread_time() - begun)
    return median(times) * 1e3


def report(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(json.dumps({"figure": name, "value": round(value, 2), "unit": unit}), flush=True)


def measure_bodies(site: HollowSite) -> ViewSources:
    """Print sizes and decoding times; return the sources of a view."""
    made = {
        "members": bodies.members_body(site),
        "replicas": bodies.replicas_body(site),
        "plan": bodies.plan_body(site),
    }
    for name, body in made.items():
        data = encode(body)
        kind = type(body)
        report(f"{name}: whole body", len(data), "bytes")
        report(f"{name}: decoding", cost_ms(lambda kind=kind, data=data: decode(kind, data)), "ms")
    report("plan: matrix", len(made["plan"].matrix), "cells")
    configuration = read_configuration(site.document).ok
    return ViewSources(
        configuration,
        1,
        nodes=tuple(made["members"].nodes),
        replicas=tuple(made["replicas"].replicas),
        plan=made["plan"],
    )


def measure_view(site: HollowSite, sources: ViewSources) -> None:
    """Print what a new view costs."""
    own = site.fronts[0]

    def build() -> None:
        build_routing_view(own.node_id, own.zone, own.region, sources)

    report("view built", cost_ms(build), "ms")


def measure_configuration(site: HollowSite) -> None:
    """Print what reading and a delta of one route cost."""
    document = site.document
    report("configuration: document", len(document), "bytes")
    report("configuration: reading", cost_ms(lambda: read_configuration(document)), "ms")
    target = document.replace(b'"deadline_s":30,', b'"deadline_s":31.5,', 1)
    deltas = make_deltas(DeltaTask((document,), target))
    if deltas[0] is None:
        raise AssertionError("no delta")
    report("configuration: delta", len(deltas[0]), "bytes")
    task = ApplyTask(document, deltas[0], sha256(target).hexdigest())
    report("configuration: delta applied", cost_ms(lambda: apply_delta(task)), "ms")
    made_ms = cost_ms(lambda: make_deltas(DeltaTask((document, document), target)), 3)
    report("configuration: two deltas made", made_ms, "ms")


def main() -> None:
    """Print all figures."""
    site = build_site(HollowSize(), SUBNET)
    sources = measure_bodies(site)
    measure_view(site, sources)
    measure_configuration(site)


if __name__ == "__main__":
    main()
