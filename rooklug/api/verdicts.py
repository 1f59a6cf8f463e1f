"""Decides whether a core's answer is final for the operator or the request is retried."""

from typing import Any

import attrs
from multimethod import multimethod

from rooklug.api.answers import configuration_answer, error_answer, json_answer
from rooklug.config.problems import parse_problem
from rooklug.engine.effects import HttpRespond
from rooklug.wire.generated.control.ttypes import (
    DecisionRecord,
    ReadConfigurationAnswer,
    ReadDecisionsAnswer,
    SetZoneAnswer,
    SetZoneRequest,
    SubmitChangeAnswer,
    SubmitChangeRequest,
)

ACCEPTED = "accepted"
CONFLICT = "conflict"
INVALID = "invalid"
UNKNOWN = "unknown"


@attrs.frozen
class Final:
    """The core has decided; ``response`` is sent to the operator."""

    response: HttpRespond


@attrs.frozen
class Retry:
    """The core has not decided, and the request is sent again.

    ``primary_address`` is the primary that the core named, or "" if it knows none;
    ``maybe_taken`` says that the order may already be stored.
    """

    primary_address: str
    maybe_taken: bool


Verdict = Final | Retry


@multimethod
def interpret_answer(answer: SubmitChangeAnswer, request: Any, request_id: int) -> Verdict:
    """Interpret a core's answer to an operator's request; the overload depends on its type."""
    if answer.outcome == ACCEPTED:
        document = {
            "version": answer.version,
            "digest": request.digest,
            "repeated": answer.repeated,
        }
        return Final(json_answer(request_id, 200, document))
    if answer.outcome == CONFLICT:
        return Final(_conflict(answer, request, request_id))
    if answer.outcome == INVALID:
        return Final(_invalid(answer.problems, request_id))
    return Retry(answer.primary_address, maybe_taken=answer.outcome == UNKNOWN)


@interpret_answer.register
def _interpret_zone_order(answer: SetZoneAnswer, request: Any, request_id: int) -> Verdict:
    """Interpret the answer to a zone order."""
    if answer.outcome == ACCEPTED:
        document = {"zone": request.zone, "emptied": request.emptied}
        return Final(json_answer(request_id, 200, document))
    if answer.outcome == INVALID:
        return Final(_invalid(answer.problems, request_id))
    if answer.outcome == CONFLICT:
        message = "; ".join(answer.problems) or "another order stands against it"
        return Final(error_answer(request_id, 409, CONFLICT, message))
    return Retry(answer.primary_address, maybe_taken=answer.outcome == UNKNOWN)


@interpret_answer.register
def _interpret_read(answer: ReadConfigurationAnswer, request: Any, request_id: int) -> Verdict:
    """Interpret the answer to a read of the configuration."""
    if not answer.ok:
        return Retry(answer.primary_address, maybe_taken=False)
    body = answer.configuration
    return Final(configuration_answer(request_id, body.version, body.digest, body.document))


@interpret_answer.register
def _interpret_poll(answer: ReadDecisionsAnswer, request: Any, request_id: int) -> Verdict:
    """Interpret the answer to a poll of decisions."""
    if not answer.ok:
        return Retry(answer.primary_address, maybe_taken=False)
    document = {
        "decisions": [_decision_document(record) for record in answer.decisions],
        "gap": answer.gap,
    }
    return Final(json_answer(request_id, 200, document))


def is_order(request: object) -> bool:
    """Return whether a request changes state, so that its outcome is unknown without an answer."""
    return isinstance(request, SubmitChangeRequest | SetZoneRequest)


def _conflict(
    answer: SubmitChangeAnswer, request: SubmitChangeRequest, request_id: int
) -> HttpRespond:
    if answer.digest:
        message = f"version {request.version} is another change already"
    else:
        message = f"the newest version is {answer.version}"
    return error_answer(
        request_id, 409, CONFLICT, message, newest=answer.version, winner_digest=answer.digest
    )


def _invalid(problems: list[str], request_id: int) -> HttpRespond:
    listed = [attrs.asdict(parse_problem(line)) for line in problems]
    message = f"refused as a whole: {len(listed)} problem(s)"
    return error_answer(request_id, 400, INVALID, message, problems=listed)


def _decision_document(record: DecisionRecord) -> dict:
    return {
        "cursor": f"{record.token.epoch}.{record.token.counter}.{record.sequence}",
        "kind": record.kind,
        "cause": record.cause,
        "summary": record.summary,
        "wall_time_ms": record.wall_time_ms,
    }
