"""Measures failover times in virtual time; not a test.

``python -m tests.core_failover --seeds 300`` prints, for each kind of failure, the time from the
failure until another core serves as the primary.
"""

import argparse
from collections.abc import Callable

from rooklug.engine.events import StopRequested
from tests.core_cluster import Cluster
from tests.core_machine import Core
from tests.test_core_replication import change_request, started_cluster

WAIT_S = 60.0


def _stall(cluster: Cluster, core: Core) -> None:
    core.disk.stalled_until = cluster.now + WAIT_S
    cluster.request(core.core_id, change_request(1, b"{}"), lambda answer: None)


FAILURES: dict[str, Callable[[Cluster, Core], None]] = {
    "crash": lambda cluster, core: cluster.crash(core.core_id),
    "isolated": lambda cluster, core: cluster.isolate(core.core_id),
    "frozen": lambda cluster, core: cluster.freeze(core.core_id),
    "disk stalls": _stall,
    "graceful stop": lambda cluster, core: cluster.deliver(core.core_id, StopRequested()),
}


def failover_s(seed: int, failure: Callable[[Cluster, Core], None]) -> float:
    """Return the seconds from the failure until another core serves as the primary."""
    cluster = started_cluster(seed)
    cluster.run(cluster.now + 1.0 + 3.0 * cluster.random.random())
    old, began = cluster.primary(), cluster.now
    failure(cluster, old)

    def another_serves() -> bool:
        others = [core for core in cluster.cores.values() if core is not old and core.alive]
        return any(core.component.primary.may_serve(cluster.now) for core in others)

    if not cluster.run(began + WAIT_S, another_serves):
        raise TimeoutError(f"seed {seed}: no other core became primary in time")
    return cluster.now - began


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=300)
    options = parser.parse_args()
    for name, failure in FAILURES.items():
        times = sorted(failover_s(seed, failure) for seed in range(options.seeds))
        middle, late = times[len(times) // 2], times[len(times) * 99 // 100]
        print(f"{name}: p50 {middle:.2f} s, p99 {late:.2f} s, max {times[-1]:.2f} s")


if __name__ == "__main__":
    main()
