"""Announces to the core's other components what is committed, who leads, and its status."""

from rooklug.core.outbox import Outbox
from rooklug.core.store import ReplicaStore
from rooklug.core.types import START
from rooklug.model.internal_events import (
    ConfigurationCommitted,
    CoresChanged,
    CoreStatusChanged,
    PrimaryKnown,
    ZonesCommitted,
)
from rooklug.model.versions import ZERO_VERSION, is_newer
from rooklug.wire.generated.control.ttypes import CoreStatus


class Announcer:
    """Emits an internal event for each change, never an older state after a newer one."""

    def __init__(self, outbox: Outbox, store: ReplicaStore) -> None:
        self._outbox = outbox
        self._store = store
        self._configuration = ZERO_VERSION
        self._zones = ZERO_VERSION
        self._status: CoreStatus | None = None
        self._addresses: tuple[str, ...] = ()
        self.primary_epoch = 0
        self.primary_id = ""
        self.primary_address = ""

    def committed(self) -> None:
        """Announce the committed configuration and zones, where they are newer."""
        state = self._store.state
        version = state.configuration_version()
        if is_newer(version, self._configuration):
            self._configuration = version
            self._outbox.emit(ConfigurationCommitted(version, state.configuration_body()))
        zones_version = state.zones_version()
        if state.zones_position != START and is_newer(zones_version, self._zones):
            self._zones = zones_version
            self._outbox.emit(ZonesCommitted(zones_version, state.zones_body()))

    def primary(self, epoch: int, core_id: str, address: str) -> None:
        """Announce where the primary is, "" while that is unknown."""
        if epoch < self.primary_epoch or (epoch, core_id) == (self.primary_epoch, self.primary_id):
            return
        self.primary_epoch = epoch
        self.primary_id = core_id
        self.primary_address = address
        self._outbox.emit(PrimaryKnown(epoch, address))

    def cores(self, addresses: tuple[str, ...]) -> None:
        """Announce where the voting cores are, when that has changed."""
        if addresses and addresses != self._addresses:
            self._addresses = addresses
            self._outbox.emit(CoresChanged(addresses))

    def status(self, status: CoreStatus) -> None:
        """Announce this core's status when it has changed."""
        if status != self._status:
            self._status = status
            self._outbox.emit(CoreStatusChanged(status))
