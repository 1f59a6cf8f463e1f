"""Tells clients which fronts to connect to, and the platform whether this front is ready."""

import json

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.gateway.dialect import EdgeDialect, WhereQuestion
from rooklug.gateway.lifecycle import Lifecycle
from rooklug.gateway.serving_fronts import serving_fronts
from rooklug.gateway.view import GatewayView
from rooklug.gateway.view_keeper import GatewayViewKeeper
from rooklug.wire.generated.control.ttypes import NodeRecord

DIRECTORY_LISTENER = "directory"
READINESS_LISTENER = "readiness"
MAX_ADDRESSES = 64
SETTLED_S = 2.0
"""An answer that was first given longer ago is taken to last."""
CHANGING_TTL_S = 0.5
"""How long other answers hold: fronts come and go at this moment."""
MOST_ANSWERS_KEPT = 64
FAR_FRONTS = 1
"""How many fronts of another region an answer names."""
NEAR_WEIGHT = 8
"""How often a near front stands in an answer beside one of another region."""
_JSON = {"content-type": "application/json"}


class Directory(BaseComponent):
    """Answers on the directory's and the readiness check's listeners."""

    name = "directory"
    http_listeners = (DIRECTORY_LISTENER, READINESS_LISTENER)

    def __init__(
        self,
        dialect: EdgeDialect,
        keeper: GatewayViewKeeper,
        lifecycle: Lifecycle,
        own_address: str,
        ttl_s: float,
    ) -> None:
        self._dialect = dialect
        self._keeper = keeper
        self._lifecycle = lifecycle
        self._own_address = own_address
        self._ttl_s = ttl_s
        self._told: dict[tuple[str, ...], float] = {}

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Answer a question."""
        if not isinstance(event, ev.HttpRequestArrived):
            return []
        if event.listener == READINESS_LISTENER:
            return [self._readiness(event)]
        question = self._dialect.read_where(event)
        if question is None:
            return [fx.HttpRespond(event.request_id, 404, b"{}", _JSON)]
        addresses = self._addresses(question)
        if not addresses:
            return [fx.HttpRespond(event.request_id, 503, b"{}", _JSON)]
        addresses = addresses[:MAX_ADDRESSES]
        body = self._dialect.write_where(addresses, self._ttl_of(addresses, now))
        return [fx.HttpRespond(event.request_id, 200, body, _JSON)]

    def _ttl_of(self, addresses: list[str], now: float) -> float:
        """Return how long an answer holds: not long while answers change."""
        key = tuple(addresses)
        since = self._told.setdefault(key, now)
        if len(self._told) > MOST_ANSWERS_KEPT:
            self._told = {key: since}
        return self._ttl_s if now - since > SETTLED_S else min(CHANGING_TTL_S, self._ttl_s)

    def _readiness(self, event: ev.HttpRequestArrived) -> fx.Effect:
        if event.path != self._dialect.readiness_path:
            return fx.HttpRespond(event.request_id, 404, b"{}", _JSON)
        reason = self._lifecycle.reason_not_ready()
        body = json.dumps({"ready": reason == "", "reason": reason}).encode()
        return fx.HttpRespond(event.request_id, 503 if reason else 200, body, _JSON)

    def _addresses(self, question: WhereQuestion) -> list[str]:
        view = self._keeper.view
        if not view.ready_fronts:
            return [self._own_address] if not self._lifecycle.reason_not_ready() else []
        configuration = view.configuration
        if configuration is None:
            return addresses_for(question.region, frozenset(), view, backups=frozenset())
        homes = configuration.hosts_home(question.host)
        backups = configuration.common_homes(question.host)
        return addresses_for(question.region, homes, view, backups)


def addresses_for(
    region: str, homes: frozenset[str], view: GatewayView, backups: frozenset[str] | None = None
) -> list[str]:
    """Return where clients of a region go: its serving fronts, and one front elsewhere.

    ``homes`` are the regions that a wholly bound host allows, empty for any. ``backups`` are the
    regions that may be named beside the near ones, None for any: a host may have bound routes
    beside others, and whoever asks doesn't say which of them its requests will use.

    Clients choose among the addresses at random and pass over those that fail. When a whole
    region is lost they can't ask again, since they ask near nodes first: the front of another
    region is then the one that is left. Near ones stand in the answer several times, so that
    few clients go the long way while all is well.
    """
    allowed = [node for node in view.ready_fronts if not homes or node.region in homes]
    allowed = allowed or list(view.ready_fronts)
    near = [node for node in allowed if node.region == region]
    nearest = serving_fronts(near or allowed, view.core_machines)
    others = [
        node
        for node in allowed
        if node.region != region and (backups is None or node.region in backups)
    ]
    far = _backup(region, others if near else [], view)
    weight = max(1, (MAX_ADDRESSES - len(far)) // max(len(nearest), 1))
    times = min(NEAR_WEIGHT, weight) if far else 1
    return sorted(node.http_address for node in nearest) * times + far


def _backup(region: str, others: list[NodeRecord], view: GatewayView) -> list[str]:
    """Return an address in the region that comes next by name, if there is one."""
    regions = sorted({node.region for node in others})
    if not regions:
        return []
    following = [name for name in regions if name > region] or regions
    there = [node for node in others if node.region == following[0]]
    chosen = serving_fronts(there, view.core_machines)[:FAR_FRONTS]
    return [node.http_address for node in chosen]
