"""Publishes internal events about the committed state, the primary and this core's status."""

from rooklug.core.outbox import Outbox
from rooklug.core.store import ReplicaStore
from rooklug.core.types import START
from rooklug.model.internal_events import (
    ConfigurationCommitted,
    CoresChanged,
    CoreStatusChanged,
    PrimaryChanged,
    ZonesCommitted,
)
from rooklug.model.versions import ZERO_VERSION, is_newer
from rooklug.wire.generated.control.ttypes import CoreStatus


class Announcer:
    """Emits an internal event for each change to the other components of this process.

    It never emits an older version after a newer one. ``primary_id`` and ``primary_address``
    are "" while the primary of ``primary_epoch`` is unknown.
    """

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
        """Announce the committed configuration and zones if newer than those last announced."""
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
        """Announce the primary of ``epoch``; ``core_id`` and ``address`` are "" if it is unknown.

        Does nothing for an outdated epoch or for the primary that was announced last.
        """
        if epoch < self.primary_epoch or (epoch, core_id) == (self.primary_epoch, self.primary_id):
            return
        self.primary_epoch = epoch
        self.primary_id = core_id
        self.primary_address = address
        self._outbox.emit(PrimaryChanged(epoch, address))

    def cores(self, addresses: tuple[str, ...]) -> None:
        """Announce the internal addresses of the voting cores if they have changed."""
        if addresses and addresses != self._addresses:
            self._addresses = addresses
            self._outbox.emit(CoresChanged(addresses))

    def status(self, status: CoreStatus) -> None:
        """Announce this core's status if it has changed."""
        if status != self._status:
            self._status = status
            self._outbox.emit(CoreStatusChanged(status))
