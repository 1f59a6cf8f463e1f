"""The processes of a site: their settings files and command lines."""

from pathlib import Path
from typing import Any

import attrs

from rooklug.model.settings import CoreSettings, NodeSettings
from rooklug_lab.deployment import HIDDEN_PORT_OFFSET, LAB_PORT, Deployment
from rooklug_lab.fleet.processes import ManagedProcess
from rooklug_lab.fleet.settings_files import core_toml, node_toml
from rooklug_lab.standins.process import StandinSpec, spec_json
from rooklug_lab.standins.settings import OperatorSettings

OPERATOR_NUMBER = 2


def hidden(address: str) -> str:
    """Return where a process listens behind the relay of ``address``."""
    ip, _, port = address.partition(":")
    return f"{ip}:{int(port) + HIDDEN_PORT_OFFSET}"


class SiteProcesses:
    """Makes the processes of ``site``; their files lie in ``folder``.

    ``processes`` and ``nodes`` (the daemons' settings) are by name; a daemon's name is its
    node id. ``operator_address`` is where the operator's stand-in listens.
    """

    def __init__(self, site: Deployment, folder: Path, seed: int, relayed: bool) -> None:
        self.site = site
        self.folder = folder
        self.seed = seed
        self.relayed = relayed
        self.processes: dict[str, ManagedProcess] = {}
        self.nodes: dict[str, NodeSettings] = {}
        folder.mkdir(parents=True, exist_ok=True)
        self._add_daemons()
        self._add_standins()

    def listening(self, address: str) -> str:
        """Return where the stand-in of an advertised address listens."""
        return hidden(address) if self.relayed else address

    def standin_addresses(self) -> list[str]:
        """Return the advertised addresses of replicas, back ends and platform."""
        site = self.site
        listed = [*site.replicas, *site.backends, site.platform]
        return [standin.address for standin in listed]

    def _add_daemons(self) -> None:
        for core in self.site.cores:
            data_folder = str(self.folder / f"{core.node.node_id}.data")
            node = attrs.evolve(core.node, data_folder=data_folder)
            self._add_daemon(node, core_toml(CoreSettings(node, core.members)))
        for node in (*self.site.controllers, *self.site.fronts):
            self._add_daemon(node, node_toml(node))

    def _add_daemon(self, node: NodeSettings, settings_text: str) -> None:
        self.nodes[node.node_id] = node
        file = self._write(f"{node.node_id}.toml", settings_text)
        arguments = ["-m", "rooklug.cli.main", node.role, "--settings", str(file)]
        self._add_process(node.node_id, arguments)

    def _add_process(self, name: str, arguments: list[str]) -> None:
        self.processes[name] = ManagedProcess(name, arguments, self.folder / f"{name}.log")

    def _add_standins(self) -> None:
        site = self.site
        for zone in site.zone_regions:
            specs = [
                self._spec("model_replica", self.listening(replica.address), replica)
                for replica in site.replicas
                if replica.zone == zone
            ]
            specs += [
                self._spec("once_backend", self.listening(backend.address), backend)
                for backend in site.backends
                if backend.zone == zone
            ]
            self._add_standin_process(f"replicas-{zone}", specs)
        platform = self._spec("platform", self.listening(site.platform.address), site.platform)
        self._add_standin_process("platform", [platform, self._operator_spec()])

    def _operator_spec(self) -> StandinSpec:
        site = self.site
        ip = site.caller_ip(site.regions[0], OPERATOR_NUMBER)
        settings = OperatorSettings("operator", f"{ip}:{LAB_PORT}", site.front_addresses())
        self.operator_address = settings.address
        return self._spec("operator", settings.address, settings)

    def add_callers(self, duration_s: float) -> None:
        """Add a process with the callers of each region."""
        by_region: dict[str, list[StandinSpec]] = {}
        for caller in self.site.callers(duration_s):
            kind = "model_caller" if caller.caller_id.startswith("model") else "once_caller"
            spec = self._spec(kind, caller.address, caller)
            by_region.setdefault(caller.region, []).append(spec)
        for region, specs in by_region.items():
            self._add_standin_process(f"callers-{region}", specs)

    def _spec(self, kind: str, listen: str, settings: Any) -> StandinSpec:
        bind_ip = listen.partition(":")[0]
        return StandinSpec(kind, listen, bind_ip, self.seed, settings)

    def _add_standin_process(self, name: str, specs: list[StandinSpec]) -> None:
        file = self._write(f"{name}.json", spec_json(specs))
        self._add_process(name, ["-m", "rooklug_lab.cli", "standin", str(file)])

    def _write(self, name: str, text: str) -> Path:
        path = self.folder / name
        path.write_text(text)
        return path
