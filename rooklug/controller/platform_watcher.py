"""Role "platform-watcher": polls the platform's list of replicas and publishes its changes."""

from collections.abc import Iterable

from expression import Error, Result

from rooklug.controller.link import Link
from rooklug.controller.listing_guard import ListingGuard
from rooklug.controller.platform_listing import Listing, ListingError, read_listing
from rooklug.controller.role import RoleChange, RoleFollower
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.model.constants import PLATFORM_POLL_S
from rooklug.model.internal_events import GrantsChanged
from rooklug.model.settings import NodeSettings
from rooklug.model.topics import REPLICAS, ROLE_PLATFORM_WATCHER
from rooklug.wire.generated.control.ttypes import ListedReplica, ReplicasBody

LISTING_PATH = "/platform/replicas"
ANSWER_DEADLINE_S = PLATFORM_POLL_S + 0.5
CONNECT_DEADLINE_S = 0.3
FAILURE_BACKOFF_S = 0.25
NEXT_POLL_DELAY_S = 0.02
TICK_S = 0.5
HTTP_OK = 200
_TICK = "tick"
_POLL = "poll"


class PlatformWatcher(BaseComponent):
    """Long-polls the platform while this node holds the role, and publishes each changed list."""

    name = "platform-watcher"
    subscribes_to = (GrantsChanged,)

    def __init__(self, settings: NodeSettings, context: ProcessContext, core_link: Link) -> None:
        self._platform_address = settings.platform_address
        self._context = context
        self._link = core_link
        self._role = RoleFollower(core_link, ROLE_PLATFORM_WATCHER)
        self._guard = ListingGuard()
        self._replicas: tuple[ListedReplica, ...] = ()
        self._published = False
        self._version = 0
        self._call_id: int | None = None
        self._sent_at = 0.0
        self._polls = 0
        self._failed_polls = 0
        self._bad_listings = 0
        self._suspicious_listings = 0
        self._publications = 0

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Handle one event; without a valid grant, nothing is sent or published."""
        effects = self._follow_role(now)
        if isinstance(event, ev.Started) or event == ev.TimerFired(_TICK):
            effects.append(fx.StartTimer(_TICK, TICK_S))
        elif isinstance(event, ev.TimerFired) and event.name == _POLL:
            effects += self._poll(now)
        elif isinstance(event, ev.HttpAnswered | ev.HttpFailed) and event.call_id == self._call_id:
            effects += self._on_poll_end(event, now)
        return effects

    def _follow_role(self, now: float) -> list[fx.Effect]:
        change = self._role.refresh(now)
        if change is RoleChange.NONE:
            return []
        effects: list[fx.Effect] = [fx.CancelTimer(_POLL)]
        if self._call_id is not None:
            effects.append(fx.CancelHttpCall(self._call_id))
            self._call_id = None
        if change is RoleChange.TAKEN:
            self._begin_watch()
            effects += self._poll(now)
        return effects

    def _begin_watch(self) -> None:
        """Start from the list that the previous owner published, to detect a sudden loss."""
        body = self._link.body(REPLICAS)
        self._replicas = tuple(body.replicas) if body is not None else ()
        self._guard = ListingGuard()
        self._version = 0
        self._published = False

    def _poll(self, now: float) -> list[fx.Effect]:
        if not self._role.is_owner or self._call_id is not None or not self._platform_address:
            return []
        self._call_id = self._context.identifiers.next()
        self._sent_at = now
        self._polls += 1
        wait_ms = int(PLATFORM_POLL_S * 1000) if self._published else 0
        return [
            fx.HttpCall(
                call_id=self._call_id,
                address=self._platform_address,
                method="GET",
                path=f"{LISTING_PATH}?after={self._version}&wait_ms={wait_ms}",
                body=b"",
                deadline_s=ANSWER_DEADLINE_S,
                connect_deadline_s=CONNECT_DEADLINE_S,
                not_after=self._role.until,
            )
        ]

    def _on_poll_end(self, event: ev.HttpAnswered | ev.HttpFailed, now: float) -> list[fx.Effect]:
        self._call_id = None
        if not self._role.is_owner:
            return []
        outcome = self._read(event)
        if outcome.is_error():
            return self._poll_failed(outcome.error)
        listing = outcome.ok
        newer = listing.version != self._version
        self._version = listing.version
        effects = self._take(listing, now)
        elapsed = now - self._sent_at
        delay_s = NEXT_POLL_DELAY_S if newer else max(NEXT_POLL_DELAY_S, PLATFORM_POLL_S - elapsed)
        return [*effects, fx.StartTimer(_POLL, delay_s)]

    def _read(self, event: ev.HttpAnswered | ev.HttpFailed) -> Result[Listing, ListingError]:
        if isinstance(event, ev.HttpFailed):
            self._failed_polls += 1
            return Error(ListingError(event.reason))
        if event.status != HTTP_OK:
            self._failed_polls += 1
            return Error(ListingError(f"status {event.status}"))
        outcome = read_listing(event.body)
        self._bad_listings += outcome.is_error()
        return outcome

    def _poll_failed(self, problem: ListingError) -> list[fx.Effect]:
        """Keep the published list and schedule the next poll, with jitter."""
        delay_s = FAILURE_BACKOFF_S * (1.0 + self._context.random.random())
        return [
            fx.Log(
                "warning",
                "platform poll failed; keeping the published list and retrying",
                {"reason": problem.message},
            ),
            fx.StartTimer(_POLL, delay_s),
        ]

    def _take(self, listing: Listing, now: float) -> list[fx.Effect]:
        weighed = self._guard.weigh(self._replicas, listing.replicas, now)
        effects: list[fx.Effect] = []
        if weighed.retained:
            self._suspicious_listings += 1
            fields = {"version": listing.version, "held_back": len(weighed.retained)}
            effects.append(
                fx.Log(
                    "warning",
                    "platform list lost most replicas; retaining them",
                    fields,
                )
            )
        if self._published and weighed.replicas == self._replicas:
            return effects
        self._replicas = weighed.replicas
        self._published = True
        self._publications += 1
        body = ReplicasBody(replicas=list(self._replicas))
        return effects + self._link.publish(REPLICAS, ROLE_PLATFORM_WATCHER, body, [], now)

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the metric samples of the polls and of the published list."""
        prefix = "rooklug_platform"
        figures = (
            ("polls_total", self._polls, "counter", "polls sent to the platform"),
            ("polls_failed_total", self._failed_polls, "counter", "polls without an answer"),
            ("bad_lists_total", self._bad_listings, "counter", "lists refused by the checks"),
            ("suspicious_lists_total", self._suspicious_listings, "counter", "lists held back"),
            ("publications_total", self._publications, "counter", "lists published"),
            ("replicas", len(self._replicas), "gauge", "replicas on the published list"),
        )
        return [MetricSample(f"{prefix}_{name}", float(v), k, h) for name, v, k, h in figures]
