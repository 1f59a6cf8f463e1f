"""One process that runs several stand-ins, each at an address of its own."""

import asyncio
import json
import secrets
import signal
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

import attrs
import cattrs

from rooklug.engine.reducer import Identifiers, ProcessContext, Reducer
from rooklug_lab.standins.caller import ModelCaller, OnceCaller, Operator
from rooklug_lab.standins.model_replica import ModelReplica
from rooklug_lab.standins.once_backend import OnceBackend
from rooklug_lab.standins.platform import Platform
from rooklug_lab.standins.settings import (
    CallerSettings,
    OnceBackendSettings,
    OperatorSettings,
    PlatformSettings,
    ReplicaSettings,
)

_KINDS = {
    "model_replica": (ModelReplica, ReplicaSettings),
    "once_backend": (OnceBackend, OnceBackendSettings),
    "platform": (Platform, PlatformSettings),
    "model_caller": (ModelCaller, CallerSettings),
    "once_caller": (OnceCaller, CallerSettings),
    "operator": (Operator, OperatorSettings),
}
_INCARNATION_BYTES = 4


@attrs.frozen
class StandinSpec:
    """One stand-in: its kind, where it listens, its source IP, and its settings."""

    kind: str
    listen: str
    bind_ip: str
    seed: int
    settings: Any


def spec_json(specs: list[StandinSpec]) -> str:
    """Return the settings file of a process with these stand-ins."""
    return json.dumps(_converter().unstructure(specs), indent=1)


def read_specs(text: str) -> list[StandinSpec]:
    """Read a settings file made by ``spec_json``."""
    converter = _converter()
    specs = []
    for entry in json.loads(text):
        settings = converter.structure(entry.pop("settings"), _KINDS[entry["kind"]][1])
        specs.append(StandinSpec(settings=settings, **entry))
    return specs


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    converter.register_unstructure_hook(bytes, bytes.decode)
    converter.register_structure_hook(bytes, lambda text, _: text.encode())
    return converter


def build_standin(spec: StandinSpec) -> Reducer:
    """Return the reducer of a stand-in."""
    context = ProcessContext(
        node_id=spec.listen,
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        random=Random(f"{spec.seed}/{spec.kind}/{spec.listen}"),
        identifiers=Identifiers(),
        wall_clock_ms=lambda: int(time.time() * 1000),
    )
    return _KINDS[spec.kind][0](spec.settings, context)


async def serve(specs: list[StandinSpec]) -> None:
    """Run the stand-ins until SIGTERM or SIGINT."""
    from rooklug.runtime.host import Host

    hosts = [
        Host(
            build_standin(spec),
            listen_internal="",
            listen_http=spec.listen,
            bind_ip=spec.bind_ip,
            node_id=spec.listen,
            log_level="warning",
            log_stream=sys.stderr,
        )
        for spec in specs
    ]
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    for host in hosts:
        await host.start()
    await stopping.wait()
    for host in hosts:
        host.request_stop()
    await asyncio.gather(*(host.stopped() for host in hosts))


def main(settings_file: str) -> int:
    """Run the stand-ins of a settings file."""
    asyncio.run(serve(read_specs(Path(settings_file).read_text())))
    return 0
