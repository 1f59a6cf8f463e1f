"""Simulated clients: send requests to fronts from the directory, and retry within the deadline."""

from typing import TYPE_CHECKING

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.gateway.directory import addresses_for
from rooklug.gateway.executor import LISTENER
from rooklug_lab.gateway.protocols import NAMES
from rooklug_lab.policy.arrivals import ClientRequest
from rooklug_lab.policy.credit import Outcome

if TYPE_CHECKING:
    from rooklug_lab.policy.fronts import EmulatedFront
    from rooklug_lab.policy.world import PolicyWorld

NEXT_ADDRESS_S = 0.01
"""Delay until the next address is tried after a refused connection."""
CONNECT_TIMEOUT_S = 1.0
"""Connect timeout of a client at a front that has lost power."""
RETRY_WAIT_SHARE = 1 / 3
"""Clients obey a Retry-After up to this share of the time left until their deadline."""
REFUSED_FAST_SHARE = 0.25
"""A refusal counts as fast within this share of the latency objective."""
DIRECTORY_AGE_S = 2.0
"""Clients query the directory again when their cached answer is older than this."""
MOST_ADDRESSES_TRIED = 3
HOST_SUFFIX = ".example"


@attrs.define(eq=False)
class Attempt:
    """One attempt of a request at a front; ``generation`` is the front's at the time of sending."""

    outcome: Outcome
    request_id: str
    sent_at: float
    front: "EmulatedFront"
    generation: int
    last_chunk_at: float = 0.0


@attrs.define(eq=False)
class EmulatedClients:
    """All clients of a run. HTTP ids of attempts are unique across all fronts."""

    world: "PolicyWorld"
    outcomes: list[Outcome] = attrs.field(factory=list)
    _attempts: dict[int, Attempt] = attrs.field(factory=dict)
    _by_request_id: dict[str, Attempt] = attrs.field(factory=dict)
    _directory: dict[tuple[str, str], tuple[float, list["EmulatedFront"]]] = attrs.field(
        factory=dict
    )
    _next_id: int = 0

    def begin(self, request: ClientRequest) -> None:
        """Send a request for the first time and record its outcome from then on."""
        outcome = Outcome(request)
        self.outcomes.append(outcome)
        self._send(outcome)

    def request_of(self, front: "EmulatedFront", effect: fx.HttpCall) -> ClientRequest:
        """Return the client request that a front's call to a replica serves."""
        return self._by_request_id[effect.headers[NAMES.request_id]].outcome.request

    def outcome_of(self, request_id: str) -> Outcome:
        """Return the outcome of the request that an attempt (by its request id) belongs to."""
        return self._by_request_id[request_id].outcome

    def handle_effect(self, front: "EmulatedFront", effect: fx.Effect) -> None:
        """Deliver a front's response effect to its client; closed attempts are ignored."""
        attempt = self._attempts.get(getattr(effect, "request_id", 0))
        if attempt is None:
            return
        delay_s = self._delay_s(attempt.outcome.request, front)
        self.world.scheduler.after(delay_s, lambda: self._apply_effect(attempt, effect))

    def handle_front_stop(self, front: "EmulatedFront", dark: bool) -> None:
        """Fail the attempts at a stopped front; after a power loss clients get no reset."""
        for http_id, attempt in list(self._attempts.items()):
            if attempt.front is front and not dark:
                self._schedule_failure(http_id, attempt)

    # Sending ------------------------------------------------------------------

    def _send(self, outcome: Outcome) -> None:
        now = self.world.now
        if now >= outcome.request.at + outcome.request.kind.deadline_s:
            return
        outcome.attempts += 1
        outcome.attempt_at = now
        self._connect(outcome, set())

    def _connect(self, outcome: Outcome, failed: set[str]) -> None:
        fronts = [f for f in self._fronts_for(outcome.request) if f.name not in failed]
        if not fronts or len(failed) >= MOST_ADDRESSES_TRIED:
            return
        front = self.world.random.choice(fronts)
        if not front.up:
            wait_s = CONNECT_TIMEOUT_S if front.dark else NEXT_ADDRESS_S
            self.world.scheduler.after(
                wait_s, lambda: self._connect(outcome, {*failed, front.name})
            )
            return
        self._next_id += 1
        http_id = self._next_id
        request_id = f"{outcome.request.number}.{outcome.attempts}.{http_id}"
        attempt = Attempt(outcome, request_id, self.world.now, front, front.generation)
        self._attempts[http_id] = attempt
        self._by_request_id[request_id] = attempt
        delay_s = self._delay_s(outcome.request, front)
        self.world.scheduler.after(delay_s, lambda: self._arrive(http_id, attempt))
        self.world.scheduler.at(
            self._ends_at(outcome), lambda: self._close_at_deadline(http_id, attempt)
        )

    def _arrive(self, http_id: int, attempt: Attempt) -> None:
        front = attempt.front
        if not front.up or front.generation != attempt.generation:
            if not front.dark:
                self._schedule_failure(http_id, attempt)
            return
        request = attempt.outcome.request
        left_ms = int((self._ends_at(attempt.outcome) - attempt.sent_at) * 1000)
        headers = {
            "host": request.kind.name + HOST_SUFFIX,
            NAMES.request_id: attempt.request_id,
            NAMES.deadline_ms: str(left_ms),
        }
        if request.parts:
            chain = ",".join(f"{part.block_id}:{part.tokens}" for part in request.parts)
            every = self.world.tokens_per_event(request.kind)
            headers[NAMES.prompt_parts] = chain
            headers[NAMES.token_counts] = f"{request.prompt_tokens},{request.events * every}"
        path = f"/{request.kind.name}/1"
        event = ev.HttpRequestArrived(
            http_id, "POST", path, {}, headers, b"", target=path, listener=LISTENER
        )
        front.deliver(event)

    def _ends_at(self, outcome: Outcome) -> float:
        return outcome.request.at + outcome.request.kind.deadline_s

    def _close_at_deadline(self, http_id: int, attempt: Attempt) -> None:
        """Close the attempt at the request's deadline."""
        if self._attempts.pop(http_id, None) is not None:
            attempt.front.deliver(ev.HttpRequestClosed(http_id))

    # Answers ------------------------------------------------------------------

    def _apply_effect(self, attempt: Attempt, effect: fx.Effect) -> None:
        http_id = effect.request_id
        if self._attempts.get(http_id) is not attempt:
            return
        outcome, now = attempt.outcome, self.world.now
        match effect:
            case fx.HttpStreamChunk():
                self._record_chunk(attempt, now)
            case fx.HttpStreamEnd():
                del self._attempts[http_id]
                outcome.complete = True
            case fx.HttpStreamAbort():
                del self._attempts[http_id]
                self._handle_failure(attempt)
            case fx.HttpRespond():
                del self._attempts[http_id]
                self._handle_response(attempt, effect, now)

    def _record_chunk(self, attempt: Attempt, now: float) -> None:
        if not attempt.last_chunk_at:
            attempt.outcome.first_at = now
        attempt.last_chunk_at = now

    def _handle_response(self, attempt: Attempt, effect: fx.HttpRespond, now: float) -> None:
        outcome = attempt.outcome
        if 200 <= effect.status < 300:
            outcome.first_at = now
            outcome.complete = True
        elif effect.status == 503:
            self._handle_refusal(attempt, float(effect.headers.get("retry-after", "0.1")), now)
        else:
            self._handle_failure(attempt)

    def _handle_refusal(self, attempt: Attempt, retry_after_s: float, now: float) -> None:
        outcome = attempt.outcome
        kind = outcome.request.kind
        outcome.refusals += 1
        outcome.refused_fast = now - attempt.sent_at <= kind.objective_s * REFUSED_FAST_SHARE
        left_s = self._ends_at(outcome) - now
        if outcome.attempts <= kind.retries:
            wait_s = min(retry_after_s, left_s * RETRY_WAIT_SHARE)
            self.world.scheduler.after(wait_s, lambda: self._send(outcome))

    def _handle_failure(self, attempt: Attempt) -> None:
        outcome = attempt.outcome
        kind = outcome.request.kind
        if kind.resumable and outcome.attempts <= kind.retries:
            self._send(outcome)

    def _schedule_failure(self, http_id: int, attempt: Attempt) -> None:
        self._attempts.pop(http_id, None)
        delay_s = self._delay_s(attempt.outcome.request, attempt.front)
        self.world.scheduler.after(delay_s, lambda: self._handle_failure(attempt))

    # Directory ----------------------------------------------------------------

    def _fronts_for(self, request: ClientRequest) -> list["EmulatedFront"]:
        key = (request.zone.region, request.kind.name)
        known = self._directory.get(key)
        if known is None or known[0] < self.world.now - DIRECTORY_AGE_S:
            known = (self.world.now, self._ask_directory(request))
            self._directory[key] = known
        return known[1]

    def _ask_directory(self, request: ClientRequest) -> list["EmulatedFront"]:
        """Query a node in the client's region; while none is up, keep using the previous answer."""
        region = request.zone.region
        near = [front for front in self.world.fronts.values() if front.zone.region == region]
        known = self._directory.get((region, request.kind.name))
        if known is not None and not any(front.up for front in near):
            return known[1]
        view = self.world.control.view
        addresses = addresses_for(region, frozenset(request.kind.homes), view)
        return [self.world.front_at(address) for address in addresses]

    def _delay_s(self, request: ClientRequest, front: "EmulatedFront") -> float:
        network = self.world.network
        return network.delays.client_s + network.delay_s(request.zone, front.zone)
