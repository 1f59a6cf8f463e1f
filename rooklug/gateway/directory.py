"""Answers clients' address lookups and the platform's readiness checks."""

import json
from collections.abc import Iterable

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample
from rooklug.gateway.input_reader import InputReader
from rooklug.gateway.lifecycle import Lifecycle
from rooklug.gateway.protocols import ClientProtocol, ResolveRequest
from rooklug.gateway.serving_fronts import serving_fronts
from rooklug.gateway.view import GatewayView
from rooklug.gateway.view_builder import GatewayViewBuilder
from rooklug.wire.generated.control.ttypes import NodeRecord

DIRECTORY_LISTENER = "directory"
READINESS_LISTENER = "readiness"
MAX_ADDRESSES = 64
STABLE_AFTER_S = 2.0
"""An answer that was first given longer ago than this counts as stable."""
CHANGING_TTL_S = 0.5
"""TTL of answers that are not stable yet, because the set of fronts is changing."""
MAX_REMEMBERED_ANSWERS = 64
MAX_BACKUP_FRONTS = 1
"""Maximum number of fronts of another region in one answer."""
NEAR_FRONT_REPEATS = 8
"""How often each local front is repeated in an answer that contains a backup front."""
_JSON = {"content-type": "application/json"}


class Directory(BaseComponent):
    """Serves the directory's and the readiness check's listeners.

    ``own_address`` is this front's address for clients; ``ttl_s`` is the TTL of stable answers.
    """

    name = "directory"
    http_listeners = (DIRECTORY_LISTENER, READINESS_LISTENER)

    def __init__(
        self,
        protocol: ClientProtocol,
        view_builder: GatewayViewBuilder,
        lifecycle: Lifecycle,
        own_address: str,
        ttl_s: float,
    ) -> None:
        self._protocol = protocol
        self._lookups: InputReader[ResolveRequest | None] = InputReader(
            "address lookup", protocol.read_resolve_request, None
        )
        self._view_builder = view_builder
        self._lifecycle = lifecycle
        self._own_address = own_address
        self._ttl_s = ttl_s
        self._first_given_at: dict[tuple[str, ...], float] = {}

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return how many lookups could not be read because of a bug."""
        return self._lookups.metrics()

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Answer an address lookup or a readiness check; other events are ignored."""
        if not isinstance(event, ev.HttpRequestArrived):
            return []
        if event.listener == READINESS_LISTENER:
            return [self._readiness(event)]
        resolve = self._lookups.read(event)
        if resolve is None:
            not_found = fx.HttpRespond(event.request_id, 404, b"{}", _JSON)
            return [*self._lookups.take_logs(), not_found]
        addresses = self._addresses(resolve)
        if not addresses:
            return [fx.HttpRespond(event.request_id, 503, b"{}", _JSON)]
        addresses = addresses[:MAX_ADDRESSES]
        body = self._protocol.write_addresses(addresses, self._ttl_of(addresses, now))
        return [fx.HttpRespond(event.request_id, 200, body, _JSON)]

    def _ttl_of(self, addresses: list[str], now: float) -> float:
        """Return the TTL of an answer, in seconds; it is short until the answer is stable."""
        key = tuple(addresses)
        since = self._first_given_at.setdefault(key, now)
        if len(self._first_given_at) > MAX_REMEMBERED_ANSWERS:
            self._first_given_at = {key: since}
        return self._ttl_s if now - since > STABLE_AFTER_S else min(CHANGING_TTL_S, self._ttl_s)

    def _readiness(self, event: ev.HttpRequestArrived) -> fx.Effect:
        if event.path != self._protocol.readiness_path:
            return fx.HttpRespond(event.request_id, 404, b"{}", _JSON)
        reason = self._lifecycle.reason_not_ready()
        body = json.dumps({"ready": reason == "", "reason": reason}).encode()
        return fx.HttpRespond(event.request_id, 503 if reason else 200, body, _JSON)

    def _addresses(self, resolve: ResolveRequest) -> list[str]:
        view = self._view_builder.view
        if not view.ready_fronts:
            return [self._own_address] if not self._lifecycle.reason_not_ready() else []
        configuration = view.configuration
        if configuration is None:
            return addresses_for(resolve.region, frozenset(), view, backups=frozenset())
        homes = configuration.host_home_regions(resolve.host)
        backups = configuration.common_home_regions(resolve.host)
        return addresses_for(resolve.region, homes, view, backups)


def addresses_for(
    region: str, homes: frozenset[str], view: GatewayView, backups: frozenset[str] | None = None
) -> list[str]:
    """Return the addresses for clients of a region: its serving fronts and one backup elsewhere.

    ``homes`` are the regions allowed by a host whose routes are all bound to home regions; empty
    allows any. ``backups`` are the regions from which a backup may be named, None for any: a host
    may have both bound and unbound routes, and a lookup doesn't say which of them its requests
    will use.

    Clients choose among the addresses at random and skip those that fail. When a whole region is
    lost they can't look up addresses again, because they ask nodes of their own region first; the
    backup is then the only address left to them. Local addresses are repeated so that few clients
    connect to the distant backup during normal operation.
    """
    allowed = [node for node in view.ready_fronts if not homes or node.region in homes]
    allowed = allowed or list(view.ready_fronts)
    near = [node for node in allowed if node.region == region]
    serving = serving_fronts(near or allowed, view.core_machines)
    others = [
        node
        for node in allowed
        if node.region != region and (backups is None or node.region in backups)
    ]
    backup_addresses = _backup_addresses(region, others if near else [], view)
    max_repeats = max(1, (MAX_ADDRESSES - len(backup_addresses)) // max(len(serving), 1))
    repeats = min(NEAR_FRONT_REPEATS, max_repeats) if backup_addresses else 1
    return sorted(node.http_address for node in serving) * repeats + backup_addresses


def _backup_addresses(region: str, others: list[NodeRecord], view: GatewayView) -> list[str]:
    """Return the address of a serving front in the region next in name order, if there is one."""
    regions = sorted({node.region for node in others})
    if not regions:
        return []
    following = [name for name in regions if name > region] or regions
    in_region = [node for node in others if node.region == following[0]]
    chosen = serving_fronts(in_region, view.core_machines)[:MAX_BACKUP_FRONTS]
    return [node.http_address for node in chosen]
