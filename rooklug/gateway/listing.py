"""The primary reads the platform's list of replicas and distributes it to the fronts.

Only the primary asks: the platform counts calls of all nodes together. Another core begins
with its first moment as the primary, so the list is never read by nobody for longer than a
failover takes.
"""

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent
from rooklug.engine.reducer import Identifiers
from rooklug.gateway.dialect import ControlDialect
from rooklug.gateway.gateway_events import ReplicasListed
from rooklug.model.internal_events import PrimaryStarted, PrimaryStopped, TopicOffered
from rooklug.model.topics import REPLICAS
from rooklug.wire.generated.control.ttypes import ListedReplica, ReplicasBody

READ_INTERVAL_S = 0.9
CALL_DEADLINE_S = 0.7
_TIMER = "read"
_OK = 200


@attrs.define
class _Round:
    """One reading of the list, page by page."""

    replicas: list[ListedReplica] = attrs.field(factory=list)
    call_id: int = 0


class ListingWatcher(BaseComponent):
    """Reads the list while this core is the primary."""

    name = "listing"
    subscribes_to = (PrimaryStarted, PrimaryStopped)

    def __init__(self, dialect: ControlDialect, address: str, identifiers: Identifiers) -> None:
        self._dialect = dialect
        self._address = address
        self._identifiers = identifiers
        self._epoch = 0
        self._sequence = 0
        self._round: _Round | None = None
        self._known: tuple | None = None

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        match event:
            case PrimaryStarted():
                return self._begin_term(event.epoch)
            case PrimaryStopped():
                return self._end_term()
            case ev.TimerFired():
                return self._begin_round()
            case ev.HttpAnswered():
                return self._page(event)
            case ev.HttpFailed():
                self._round = None
        return []

    def _begin_term(self, epoch: int) -> list[fx.Effect]:
        going_on = self._epoch > 0
        self._epoch = epoch
        if going_on:
            return []
        self._known = None
        return self._begin_round()

    def _end_term(self) -> list[fx.Effect]:
        self._epoch = 0
        self._round = None
        return [fx.CancelTimer(_TIMER)]

    def _begin_round(self) -> list[fx.Effect]:
        if not self._epoch or not self._address:
            return []
        self._round = _Round()
        return [fx.StartTimer(_TIMER, READ_INTERVAL_S), self._ask("")]

    def _ask(self, page: str) -> fx.HttpCall:
        self._round.call_id = self._identifiers.next()
        return fx.HttpCall(
            call_id=self._round.call_id,
            address=self._address,
            method="GET",
            path=self._dialect.listing_path(page),
            body=b"",
            deadline_s=CALL_DEADLINE_S,
            connect_deadline_s=CALL_DEADLINE_S,
        )

    def _page(self, event: ev.HttpAnswered) -> list[fx.Effect]:
        current = self._round
        if current is None or event.call_id != current.call_id or event.status != _OK:
            return []
        page = self._dialect.read_listing(event.body)
        if page is None:
            self._round = None
            return [fx.Log("warning", "the list of replicas can't be read")]
        current.replicas.extend(page.replicas)
        if page.next_page:
            return [self._ask(page.next_page)]
        self._round = None
        return self._take(sorted(current.replicas, key=lambda replica: replica.replica_id))

    def _take(self, replicas: list[ListedReplica]) -> list[fx.Effect]:
        known = tuple(_identity(replica) for replica in replicas)
        if known == self._known:
            return []
        self._known = known
        self._sequence += 1
        body = ReplicasBody(replicas=replicas)
        return [
            EmitEvent(TopicOffered(REPLICAS, self._epoch, self._sequence, body)),
            EmitEvent(ReplicasListed(body)),
        ]


def _identity(replica: ListedReplica) -> tuple:
    """Return what makes an entry different: how long it stays cold goes by by itself."""
    return (
        replica.replica_id,
        replica.address,
        replica.backend,
        replica.zone,
        replica.leaving,
        bool(replica.cold_ms),
        replica.slots,
    )
