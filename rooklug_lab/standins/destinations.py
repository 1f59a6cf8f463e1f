"""What a caller knows of where to go: it asks ``POST /v1/where`` and keeps the answers."""

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug_lab.standins.flights import Flight
from rooklug_lab.standins.http import JSON_HEADERS, json_bytes, json_object

WHERE_DEADLINE_S = 2.0
CONNECT_DEADLINE_S = 1.0


@attrs.frozen
class Destination:
    """The fronts of one answer, usable until ``valid_until``."""

    addresses: tuple[str, ...]
    valid_until: float


class Destinations:
    """Answers to "where to go", by route and prompt parts."""

    def __init__(self, region: str) -> None:
        self._region = region
        self._known: dict[tuple[str, ...], Destination] = {}

    def address(self, flight: Flight, now: float) -> str:
        """Return a known front that has not failed for this request, or ""."""
        known = self._known.get(flight.destination_key)
        if known is None or known.valid_until <= now:
            return ""
        return next((name for name in known.addresses if name not in flight.tried), "")

    def question(self, flight: Flight, call_id: int, front_address: str) -> fx.HttpCall:
        """Return the call that asks a front where this request should go."""
        question = {"route": flight.load.route}
        if "prompt_parts" in flight.body:
            question["prompt_tokens"] = flight.body["prompt_tokens"]
            question["prompt_parts"] = flight.body["prompt_parts"]
        return fx.HttpCall(
            call_id,
            front_address,
            "POST",
            "/v1/where",
            json_bytes(question),
            WHERE_DEADLINE_S,
            {**JSON_HEADERS, "x-rooklug-region": self._region},
            connect_deadline_s=CONNECT_DEADLINE_S,
        )

    def take(self, flight: Flight, event: ev.Event, now: float) -> str:
        """Keep an answer; return the front to go to, "" if it wasn't a good answer."""
        body = None
        if isinstance(event, ev.HttpAnswered) and event.status == 200:
            body = json_object(event.body)
        if body is None or "front" not in body:
            return ""
        fronts = [body["front"], *body.get("alternatives", [])]
        addresses = tuple(front["address"] for front in fronts)
        valid_until = now + float(body.get("valid_s", 0))
        self._known[flight.destination_key] = Destination(addresses, valid_until)
        return next((name for name in addresses if name not in flight.tried), addresses[0])

    def forget(self, flight: Flight) -> None:
        """Forget an answer that led to a front that failed."""
        self._known.pop(flight.destination_key, None)
