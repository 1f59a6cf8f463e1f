"""The HTTP interface of a single core for operators, usable while there is no primary.

- ``GET /v1/core/status``: this core's replication status, the fields of ``CoreStatus``.
- ``POST /v1/core/recover``: the body ``{"plan": ""}`` requests a recovery plan; sending that
  plan back confirms it. Answer: ``{"outcome", "plan", "may_be_lost", "message"}``.
"""

import json
from collections.abc import Callable
from typing import Any

from rooklug.core.outbox import Outbox
from rooklug.core.recovery import Recovery, RecoveryOutcome
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.wire.generated.control.ttypes import CoreStatus
from rooklug.wire.generated.core.ttypes import RecoverAnswer

PREFIX = "/v1/core/"
STATUS_PATH = "/v1/core/status"
RECOVER_PATH = "/v1/core/recover"
HTTP_OK = 200
HTTP_INVALID = 400
HTTP_UNKNOWN_PATH = 404
HTTP_REFUSED = 409
_SUCCESSES = frozenset(
    outcome.value
    for outcome in (RecoveryOutcome.PLAN, RecoveryOutcome.RECOVERED, RecoveryOutcome.NOT_NEEDED)
)


class HttpInterface:
    """Handles the HTTP requests whose path begins with ``PREFIX``."""

    def __init__(
        self, outbox: Outbox, recovery: Recovery, status: Callable[[float], CoreStatus]
    ) -> None:
        self._outbox = outbox
        self._recovery = recovery
        self._status = status

    def on_request(self, event: ev.HttpRequestArrived, now: float) -> None:
        """Handle one request; a recovery is answered once the other cores have answered."""
        if (event.method, event.path) == ("GET", STATUS_PATH):
            self._respond(event.request_id, HTTP_OK, _fields(self._status(now)))
        elif (event.method, event.path) == ("POST", RECOVER_PATH):
            self._recover(event, now)
        else:
            message = "there are GET /v1/core/status and POST /v1/core/recover"
            self._refuse(event.request_id, HTTP_UNKNOWN_PATH, "unknown_path", message)

    def _recover(self, event: ev.HttpRequestArrived, now: float) -> None:
        plan = _plan_of(event.body)
        if plan is None:
            message = 'the body must be {"plan": TEXT}; an empty text asks for the plan'
            self._refuse(event.request_id, HTTP_INVALID, "invalid", message)
            return
        self._recovery.begin(
            plan, lambda answer: self._respond_recovery(event.request_id, answer), now
        )

    def _respond_recovery(self, request_id: int, answer: RecoverAnswer) -> None:
        if answer.outcome in _SUCCESSES:
            self._respond(request_id, HTTP_OK, _fields(answer))
        else:
            self._refuse(request_id, HTTP_REFUSED, answer.outcome, answer.message)

    def _refuse(self, request_id: int, status: int, code: str, message: str) -> None:
        self._respond(request_id, status, {"error": {"code": code, "message": message}})

    def _respond(self, request_id: int, status: int, document: dict[str, Any]) -> None:
        body = json.dumps(document, sort_keys=True).encode()
        headers = {"content-type": "application/json"}
        self._outbox.add(fx.HttpRespond(request_id, status, body, headers))


def _plan_of(body: bytes) -> str | None:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return None
    plan = document.get("plan") if isinstance(document, dict) else None
    return plan if isinstance(plan, str) else None


def _fields(struct: Any) -> dict[str, Any]:
    return {name: getattr(struct, name) for name in struct.__slots__}
