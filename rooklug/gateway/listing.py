"""Polls the platform's list of replicas on the primary and distributes it to the fronts.

Only the primary polls, because the platform limits the calls of all nodes together. A new primary
polls immediately, so polling pauses for no longer than a failover takes.
"""

from collections.abc import Iterable

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent
from rooklug.engine.reducer import Identifiers, MetricSample
from rooklug.gateway.gateway_events import ReplicasListed
from rooklug.gateway.input_reader import InputReader
from rooklug.gateway.protocols import ListingPage, OperatorProtocol
from rooklug.model.internal_events import PrimaryStarted, PrimaryStopped, TopicOffered
from rooklug.model.topics import REPLICAS
from rooklug.wire.generated.control.ttypes import ListedReplica, ReplicasBody

READ_INTERVAL_S = 0.9
MAX_LISTED_REPLICAS = 10_000
CALL_DEADLINE_S = 0.7
_TIMER = "read"
_OK = 200
_MAX_LOGGED_REJECTIONS = 5


@attrs.frozen
class _ReplicaIdentity:
    """The fields of a list entry whose change makes the list worth publishing."""

    replica_id: str
    address: str
    service: str
    zone: str
    draining: bool
    in_slow_start: bool
    slots: int | None


@attrs.define
class _ListRead:
    """A read of the list in progress, page by page."""

    replicas: list[ListedReplica] = attrs.field(factory=list)
    rejected: list[str] = attrs.field(factory=list)
    call_id: int = 0


class ListingWatcher(BaseComponent):
    """Polls the list at ``address`` every ``READ_INTERVAL_S`` while this core is the primary."""

    name = "listing"
    subscribes_to = (PrimaryStarted, PrimaryStopped)

    def __init__(self, protocol: OperatorProtocol, address: str, identifiers: Identifiers) -> None:
        self._listing_path = protocol.listing_path
        self._pages: InputReader[ListingPage | None] = InputReader(
            "list of replicas", protocol.read_listing, None
        )
        self._address = address
        self._identifiers = identifiers
        self._epoch = 0
        self._sequence = 0
        self._current_read: _ListRead | None = None
        self._last_published: tuple[_ReplicaIdentity, ...] | None = None
        self._rejected: list[str] = []
        self._unreadable_lists = 0

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return how much of the platform's list could not be used."""
        return [
            MetricSample(
                "gateway_list_entries_rejected",
                float(len(self._rejected)),
                "gauge",
                "entries of the last list that were left out",
            ),
            MetricSample(
                "gateway_lists_unreadable_total",
                float(self._unreadable_lists),
                "counter",
                "lists that could not be used, so that the previous one stayed",
            ),
            *self._pages.metrics(),
        ]

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Follow the primary's term, start a read, or process a page."""
        match event:
            case PrimaryStarted():
                return self._start_term(event.epoch)
            case PrimaryStopped():
                return self._end_term()
            case ev.TimerFired():
                return self._start_read()
            case ev.HttpAnswered():
                return self._on_page_received(event)
            case ev.HttpFailed():
                self._current_read = None
        return []

    def _start_term(self, epoch: int) -> list[fx.Effect]:
        was_primary = self._epoch > 0
        self._epoch = epoch
        if was_primary:
            return []
        self._last_published = None
        return self._start_read()

    def _end_term(self) -> list[fx.Effect]:
        self._epoch = 0
        self._current_read = None
        return [fx.CancelTimer(_TIMER)]

    def _start_read(self) -> list[fx.Effect]:
        if not self._epoch or not self._address:
            return []
        self._current_read = _ListRead()
        return [fx.StartTimer(_TIMER, READ_INTERVAL_S), self._fetch_page(self._current_read, "")]

    def _fetch_page(self, read: _ListRead, page: str) -> fx.HttpCall:
        read.call_id = self._identifiers.next()
        return fx.HttpCall(
            call_id=read.call_id,
            address=self._address,
            method="GET",
            path=self._listing_path(page),
            body=b"",
            deadline_s=CALL_DEADLINE_S,
            connect_deadline_s=CALL_DEADLINE_S,
        )

    def _on_page_received(self, event: ev.HttpAnswered) -> list[fx.Effect]:
        current = self._current_read
        if current is None or event.call_id != current.call_id or event.status != _OK:
            return []
        page = self._pages.read(event.body)
        if page is None:
            return [*self._pages.take_logs(), *self._keep_previous_list("it can't be parsed")]
        current.replicas.extend(page.replicas)
        current.rejected.extend(page.rejected)
        if len(current.replicas) + len(current.rejected) > MAX_LISTED_REPLICAS:
            return self._keep_previous_list(f"it has more than {MAX_LISTED_REPLICAS} entries")
        if page.next_page:
            return [self._fetch_page(current, page.next_page)]
        self._current_read = None
        return self._on_list_complete(current)

    def _on_list_complete(self, read: _ListRead) -> list[fx.Effect]:
        """Publish the usable entries; a list that has only unusable ones changes nothing."""
        log = self._log_rejections(read.rejected)
        if read.rejected and not read.replicas:
            return [*log, *self._keep_previous_list("none of its entries can be used")]
        replicas = sorted(read.replicas, key=lambda replica: replica.replica_id)
        return [*log, *self._publish(replicas)]

    def _keep_previous_list(self, reason: str) -> list[fx.Effect]:
        self._current_read = None
        self._unreadable_lists += 1
        fields = {"reason": reason}
        return [fx.Log("warning", "list of replicas unreadable; keeping the previous list", fields)]

    def _log_rejections(self, rejected: list[str]) -> list[fx.Effect]:
        """Log the entries left out, once for as long as they are the same."""
        previous, self._rejected = self._rejected, rejected
        if not rejected or rejected == previous:
            return []
        fields = {"count": len(rejected), "reasons": rejected[:_MAX_LOGGED_REJECTIONS]}
        return [fx.Log("warning", "entries of the list of replicas left out", fields)]

    def _publish(self, replicas: list[ListedReplica]) -> list[fx.Effect]:
        identities = tuple(_identity(replica) for replica in replicas)
        if identities == self._last_published:
            return []
        self._last_published = identities
        self._sequence += 1
        body = ReplicasBody(replicas=replicas)
        return [
            EmitEvent(TopicOffered(REPLICAS, self._epoch, self._sequence, body)),
            EmitEvent(ReplicasListed(body)),
        ]


def _identity(replica: ListedReplica) -> _ReplicaIdentity:
    """Return the compared fields; of a slow start only its presence, since it counts down."""
    return _ReplicaIdentity(
        replica.replica_id,
        replica.address,
        replica.backend,
        replica.zone,
        replica.leaving,
        bool(replica.cold_ms),
        replica.slots,
    )
