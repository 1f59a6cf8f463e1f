"""The primary's lease: heartbeats to the other members, and how long the primary may act.

A witness that answers a heartbeat supports the primary for ``FAILOVER_TIMEOUT_S`` from when it
received it. The primary counts the shorter ``LEASE_S`` from when it sent it, so its lease expires
before a majority of witnesses may make a promise to another core.
"""

from collections.abc import Callable

from rooklug.core.constants import HEARTBEAT_INTERVAL_S, LEASE_S, MESSAGE_DEADLINE_S
from rooklug.core.follower import NEVER
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.quorum import majority
from rooklug.core.records import disk_from_wire, disk_to_wire
from rooklug.core.replicator import Replicator
from rooklug.core.store import ReplicaStore
from rooklug.core.witness import Witness
from rooklug.wire.generated.core import ttypes as wire


class LeadershipLease:
    """Sends heartbeats during the replicator's view, and extends the lease when they are answered.

    ``expires_at`` is the monotonic time at which the lease expires, in seconds.
    ``on_extended()`` is called after each extension, ``on_refused(epoch, now)`` when a core
    answers that it has promised the higher ``epoch``.
    """

    def __init__(
        self,
        peers: Peers,
        outbox: Outbox,
        witness: Witness,
        store: ReplicaStore,
        replicator: Replicator,
        on_extended: Callable[[], None],
        on_refused: Callable[[int, float], None],
    ) -> None:
        self._peers = peers
        self._outbox = outbox
        self._witness = witness
        self._store = store
        self._replicator = replicator
        self._on_extended = on_extended
        self._on_refused = on_refused
        self._next_heartbeat_at = 0.0
        self._own_supported_at = NEVER
        self.expires_at = 0.0

    def is_valid(self, now: float) -> bool:
        """Return whether the lease has not expired at ``now``."""
        return now < self.expires_at

    def start(self, accepts_sent_at: float, now: float) -> None:
        """Begin a view; a majority's accepts of it count like answers to a heartbeat."""
        self._next_heartbeat_at = now
        self.expires_at = max(self.expires_at, accepts_sent_at + LEASE_S)

    def stop(self) -> None:
        """Give up the lease at once."""
        self.expires_at = 0.0

    def send_heartbeats_if_due(self, now: float) -> None:
        """Send heartbeats if the last ones are ``HEARTBEAT_INTERVAL_S`` old."""
        if now >= self._next_heartbeat_at:
            self.send_heartbeats(now)

    def send_heartbeats(self, now: float) -> None:
        """Send heartbeats, which renew support and carry the commit position, to all others."""
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        own = self._witness.state.own
        self._witness.record_heartbeat(own, self._replicator.led_view.epoch, now)
        self._own_supported_at = now
        request = wire.HeartbeatRequest(
            epoch=self._replicator.led_view.epoch,
            primary=disk_to_wire(own),
            committed=self._store.committed,
        )
        for core_id in sorted(self._replicator.followers):
            self._send_heartbeat(core_id, request, now)
        self._extend()

    def _send_heartbeat(self, core_id: str, request: wire.HeartbeatRequest, now: float) -> None:
        view, sent_at = self._replicator.led_view, now

        def answered(answer: wire.HeartbeatAnswer, now: float) -> None:
            if self._replicator.view is view:
                self._on_answer(core_id, answer, sent_at, now)

        def failed(now: float) -> None:
            if self._replicator.view is view:
                self._replicator.followers[core_id].reachable = False

        address = self._peers.address(core_id)
        self._outbox.call(address, request, MESSAGE_DEADLINE_S, answered, failed)

    def _on_answer(
        self, core_id: str, answer: wire.HeartbeatAnswer, sent_at: float, now: float
    ) -> None:
        if answer.promised_epoch > self._replicator.led_view.epoch:
            self._on_refused(answer.promised_epoch, now)
            return
        follower = self._replicator.followers[core_id]
        self._replicator.record_contact(follower, disk_from_wire(answer.member), now)
        follower.zone = answer.core_zone or ""
        if not (answer.ok and answer.voting):
            return
        follower.reachable = True
        if answer.supports:
            follower.supported_at = max(follower.supported_at, sent_at)
            self._extend()
        self._replicator.replicate(now)

    def _extend(self) -> None:
        """Count the lease from the newest heartbeat that a majority of each electorate supports."""
        supported_at = {
            follower.core_id: follower.supported_at
            for follower in self._replicator.followers.values()
        }
        supported_at[self._peers.own_id] = self._own_supported_at
        electorates = self._peers.electorates(self._replicator.view)
        newest = min(_majority_time(electorate, supported_at) for electorate in electorates)
        if newest + LEASE_S > self.expires_at:
            self.expires_at = newest + LEASE_S
            self._on_extended()


def _majority_time(electorate: frozenset[str], supported_at: dict[str, float]) -> float:
    """Return the newest send time such that a majority supports a heartbeat sent then or later."""
    times = sorted((supported_at.get(core_id, NEVER) for core_id in electorate), reverse=True)
    return times[majority(len(electorate)) - 1]
