"""Load and unload orders at a stand-in replica: read, judged, noted, obeyed."""

from typing import Any

import attrs

from rooklug_lab.standins.loaded_models import LoadedModels, Token
from rooklug_lab.standins.records import OrderReceived
from rooklug_lab.standins.settings import ReplicaSettings

LOAD = "load"
UNLOAD = "unload"
ACCEPTED = "accepted"
STALE_TOKEN = "stale_token"
NO_ROOM = "no_room"


@attrs.frozen
class Order:
    """An order as it came; ``kind`` is "load" or "unload"."""

    kind: str
    order_id: str
    model: str
    token: Token


def read_order(kind: str, body: dict[str, Any], settings: ReplicaSettings) -> Order | None:
    """Return the order in a request's body, None if it names no known model or token."""
    model = str(body.get("model", ""))
    token = _read_token(body.get("token"))
    if token is None or model not in settings.models:
        return None
    return Order(kind, str(body.get("order_id", "")), model, token)


def judge_order(order: Order, models: LoadedModels, fenced: bool) -> str:
    """Return the verdict on an order, and take its token."""
    if not models.admit_token(order.token, fenced):
        return STALE_TOKEN
    lacks_room = not models.holds(order.model) and not models.has_room(order.model)
    return NO_ROOM if order.kind == LOAD and lacks_room else ACCEPTED


def order_record(
    order: Order, verdict: str, models: LoadedModels, replica_id: str, now: float
) -> OrderReceived:
    """Return the journal's entry of an order."""
    return OrderReceived(
        at_s=now,
        replica_id=replica_id,
        kind=order.kind,
        order_id=order.order_id,
        model=order.model,
        token=order.token,
        highest_token=models.highest_token,
        verdict=verdict,
    )


def _read_token(value: Any) -> Token | None:
    if not isinstance(value, list) or len(value) != 2:
        return None
    if not all(isinstance(number, int) for number in value):
        return None
    return (value[0], value[1])
