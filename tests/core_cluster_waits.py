"""Wait conditions and HTTP requests for tests with a simulated cluster of cores."""

import json
from typing import Any
from unittest import mock

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.wire.generated.control import ttypes as control
from tests.core_cluster import Cluster
from tests.core_machine import Core

READ = control.ReadConfigurationRequest(linearizable=True)


def in_sync(cluster: Cluster) -> list[str]:
    primary = cluster.primary()
    return sorted(d.core_id for d in primary.component.primary.view.in_sync) if primary else []


def wait_in_sync(cluster: Cluster, expected: list[str], wait_s: float = 30.0) -> bool:
    return cluster.run(cluster.now + wait_s, lambda: in_sync(cluster) == expected)


def http(
    cluster: Cluster, core_id: str, method: str, path: str, body: bytes = b""
) -> tuple[int, dict[str, Any]]:
    """Send an HTTP request to a core; return the status and the JSON body."""
    responses: list[fx.HttpRespond] = []
    execute = cluster._execute

    def keep(core: Core, effect: fx.Effect) -> None:
        if isinstance(effect, fx.HttpRespond):
            responses.append(effect)
        else:
            execute(core, effect)

    with mock.patch.object(cluster, "_execute", keep):
        cluster.deliver(core_id, ev.HttpRequestArrived(1, method, path, {}, {}, body))
        cluster.run(cluster.now + 5.0, lambda: bool(responses))
    return responses[0].status, json.loads(responses[0].body)


def wait_back(cluster: Cluster, core_id: str, wait_s: float = 30.0) -> bool:
    """Wait until this core's current disk is in sync; return whether it is."""

    def is_back() -> bool:
        primary = cluster.primary()
        own = cluster.cores[core_id].component.witness.state.own
        return primary is not None and primary.component.primary.view.has(own)

    return cluster.run(cluster.now + wait_s, is_back)
